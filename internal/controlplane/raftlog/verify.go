package raftlog

import (
	"encoding/binary"
	"fmt"
	"os"
)

// bbolt does not validate the pages of its file: a corrupt page can make it panic, loop forever or overwrite pages in use.
// Therefore, before bbolt opens the file, verifyPages checks that both meta pages are valid and of successive transactions,
// that every page belongs to exactly one of the trees, the free list and the meta pages, and that all offsets lie within
// their pages. Keys and values are checked by the checksums of the records.
//
// The constants describe version 2 of bbolt's file format on a little-endian system. Sizes are in bytes.
const (
	metaMagic   = 0xED0CDAED
	metaVersion = 2

	pageHeaderBytes    = 16 // id 8, flags 2, count 2, overflow 4
	branchElementBytes = 16 // offset 4, key size 4, child page 8
	leafElementBytes   = 16 // flags 4, offset 4, key size 4, value size 4
	bucketHeaderBytes  = 16 // root page 8, sequence 8
	metaBytes          = 56 // size of the fields of a meta page before its checksum
	metaChecksumBytes  = 8  // FNV-1a

	branchPageFlag   = 0x01
	leafPageFlag     = 0x02
	metaPageFlag     = 0x04
	freelistPageFlag = 0x10
	bucketFlag       = 0x01 // flag of a leaf element whose value is a bucket

	freelistCountInData = 0xFFFF // element count of a free list page that stores the actual count as its first element

	minPageSize  = 1 << 10
	maxPageSize  = 64 << 10
	maxTreeDepth = 32 // maximum depth of a tree: enough for 2^32 pages with two or more keys per page
)

// metaPage is the content of a meta page.
type metaPage struct {
	pageSize    uint64 // bytes
	root        uint64 // page id of the root bucket
	freelist    uint64 // page id of the free list
	pages       uint64 // number of pages up to the last one in use; the file has at least as many
	transaction uint64 // id of the transaction that wrote the meta page
}

// page is a page with its overflow pages.
type page struct {
	id    uint64 // 0: the inline page of a bucket
	flags uint16
	count int    // number of elements
	data  []byte // content, including the header
}

// pageVerifier checks the pages of one file.
type pageVerifier struct {
	file *os.File
	meta metaPage
	used []bool // by page id: whether a tree, the free list or the meta pages contain the page
}

// corruptError returns an error with a formatted message that wraps ErrCorrupt.
func corruptError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrCorrupt, fmt.Sprintf(format, args...))
}

// verifyPages checks the pages of a bbolt file. The error wraps ErrTruncated, ErrCorrupt, ErrForeign or ErrVersion, or is an
// I/O error.
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
		return fmt.Errorf("%w: %d bytes, want at least %d pages of %d bytes", ErrTruncated, size, newest.pages, newest.pageSize)
	}
	v := &pageVerifier{file: file, meta: newest, used: make([]bool, newest.pages)}
	v.used[0], v.used[1] = true, true // the meta pages
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
		return page{}, corruptError("page id %d, want 2 to %d", id, v.meta.pages-1)
	}
	header := make([]byte, pageHeaderBytes)
	if _, err := v.file.ReadAt(header, int64(id*v.meta.pageSize)); err != nil {
		return page{}, corruptError("page %d: %v", id, err)
	}
	overflow := uint64(binary.LittleEndian.Uint32(header[12:]))
	if binary.LittleEndian.Uint64(header) != id || overflow >= v.meta.pages-id {
		return page{}, corruptError("page %d has a header with page id %d and %d overflow pages, file has %d pages", id,
			binary.LittleEndian.Uint64(header), overflow, v.meta.pages)
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

// markUsed marks a page as used. The error wraps ErrCorrupt if the page is used already or does not exist.
func (v *pageVerifier) markUsed(id uint64) error {
	if id >= v.meta.pages || v.used[id] {
		return corruptError("page %d is used twice or is not one of the file's %d pages", id, v.meta.pages)
	}
	v.used[id] = true
	return nil
}
