package raftlog

import (
	"encoding/binary"
	"fmt"
	"os"
)

// bbolt does not validate the pages of its file: a corrupt one can make it panic, loop forever or overwrite pages in use.
// Therefore verifyPages checks before bbolt opens the file that both meta pages are valid and of successive transactions,
// that every page belongs to exactly one of the trees, the free list and the meta pages, and that all offsets lie within
// their pages. Keys and values are checked by the checksums of the records.
//
// The layout is version 2 of bbolt's file format on little-endian machines.
const (
	metaMagic   = 0xED0CDAED
	metaVersion = 2

	pageHeaderBytes    = 16 // id 8, flags 2, count 2, overflow 4
	branchElementBytes = 16 // offset 4, key size 4, child page 8
	leafElementBytes   = 16 // flags 4, offset 4, key size 4, value size 4
	bucketHeaderBytes  = 16 // root page 8, sequence 8
	metaBytes          = 56 // fields of a meta page before its checksum
	metaChecksumBytes  = 8  // FNV-1a

	branchPageFlag   = 0x01
	leafPageFlag     = 0x02
	metaPageFlag     = 0x04
	freelistPageFlag = 0x10
	bucketFlag       = 0x01 // of a leaf element

	freelistCountInData = 0xFFFF // page count of a free list that stores its count as its first element

	minPageSize  = 1 << 10
	maxPageSize  = 64 << 10
	maxTreeDepth = 32 // of the trees: with two or more keys per page, enough for 2^32 pages
)

// metaPage is the content of a meta page.
type metaPage struct {
	pageSize    uint64 // bytes
	root        uint64 // page id of the root bucket
	freelist    uint64 // page id
	pages       uint64 // number of pages up to the last used one: the file has at least as many
	transaction uint64
}

// page is a page with its overflow pages.
type page struct {
	id    uint64 // 0: an inline page of a bucket
	flags uint16
	count int    // of elements
	data  []byte // from its header on
}

// pageVerifier checks the pages of one file.
type pageVerifier struct {
	file *os.File
	meta metaPage
	used []bool // by page id
}

// corruptError returns an error that wraps ErrCorrupt.
func corruptError(format string, arguments ...any) error {
	return fmt.Errorf("%w: %s", ErrCorrupt, fmt.Sprintf(format, arguments...))
}

// verifyPages checks the pages of a bbolt file. Its error wraps ErrTorn, ErrCorrupt, ErrForeign or ErrVersion, or is that
// of the file.
func verifyPages(file *os.File) error {
	info, err := file.Stat()
	if err != nil {
		return err
	}
	newest, err := readMetas(file, info.Size())
	if err != nil {
		return err
	}
	if size := uint64(info.Size()); newest.pages > size/newest.pageSize {
		return fmt.Errorf("%w: %d bytes, want at least %d pages of %d", ErrTorn, size, newest.pages, newest.pageSize)
	}
	v := &pageVerifier{file: file, meta: newest, used: make([]bool, newest.pages)}
	v.used[0], v.used[1] = true, true
	if err := v.verifyTree(newest.root, 0); err != nil {
		return err
	}
	if err := v.verifyFreelist(); err != nil {
		return err
	}
	for id, used := range v.used {
		if !used {
			return corruptError("page %d is neither used nor free", id)
		}
	}
	return nil
}

// readPage returns a page and marks it and its overflow pages as used.
func (v *pageVerifier) readPage(id uint64) (page, error) {
	if id < 2 || id >= v.meta.pages {
		return page{}, corruptError("page %d, want 2 to below %d", id, v.meta.pages)
	}
	header := make([]byte, pageHeaderBytes)
	if _, err := v.file.ReadAt(header, int64(id*v.meta.pageSize)); err != nil {
		return page{}, corruptError("page %d: %v", id, err)
	}
	overflow := uint64(binary.LittleEndian.Uint32(header[12:]))
	if binary.LittleEndian.Uint64(header) != id || overflow >= v.meta.pages-id {
		return page{}, corruptError("header of page %d", id)
	}
	for used := id; used <= id+overflow; used++ {
		if err := v.markUsed(used); err != nil {
			return page{}, err
		}
	}
	data := make([]byte, (overflow+1)*v.meta.pageSize)
	if _, err := v.file.ReadAt(data, int64(id*v.meta.pageSize)); err != nil {
		return page{}, corruptError("page %d: %v", id, err)
	}
	return page{
		id:    id,
		flags: binary.LittleEndian.Uint16(header[8:]),
		count: int(binary.LittleEndian.Uint16(header[10:])),
		data:  data,
	}, nil
}

// markUsed marks a page as used. Its error is that the page is used already or does not exist.
func (v *pageVerifier) markUsed(id uint64) error {
	if id >= v.meta.pages || v.used[id] {
		return corruptError("page %d of %d is used twice or does not exist", id, v.meta.pages)
	}
	v.used[id] = true
	return nil
}
