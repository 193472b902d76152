package raftlog

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"os"
)

// bbolt trusts the pages of its file: one that is corrupt can make it panic, loop without end or overwrite pages in
// use. verifyPages therefore checks, before bbolt opens the file, that both meta pages are whole and of successive
// transactions, that every page belongs to exactly one of the tree, the free list and the meta pages, and that all
// positions lie within their pages. Contents are left to the checksums of the records.
//
// The layout is that of version 2 of the file format, on little-endian machines.
const (
	metaMagic   = 0xED0CDAED
	metaVersion = 2

	pageHeaderBytes    = 16 // id 8, flags 2, count 2, overflow 4
	branchElementBytes = 16 // position 4, key size 4, page 8
	leafElementBytes   = 16 // flags 4, position 4, key size 4, value size 4
	bucketHeaderBytes  = 16 // root page 8, sequence 8
	metaBytes          = 56 // fields of a meta page before its checksum

	branchPageFlag   = 0x01
	leafPageFlag     = 0x02
	metaPageFlag     = 0x04
	freelistPageFlag = 0x10
	bucketFlag       = 0x01

	freelistCountInData = 0xFFFF // count of a free list whose count is its first element

	minPageSize  = 1 << 10
	maxPageSize  = 64 << 10
	maxTreeDepth = 32 // of the trees: with two keys a page at least, 2^32 pages
)

type metaPage struct {
	pageSize    uint64
	root        uint64
	freelist    uint64
	pages       uint64 // pages in use: the file has at least as many
	transaction uint64
}

type page struct {
	id    uint64
	flags uint16
	count int
	data  []byte // whole, with overflow
}

type pageVerifier struct {
	file *os.File
	meta metaPage
	used []bool // by id: pages met so far
}

func corruptError(format string, arguments ...any) error {
	return fmt.Errorf("%w: %s", ErrCorrupt, fmt.Sprintf(format, arguments...))
}

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
		return fmt.Errorf("%w: %d bytes, of at least %d pages of %d", ErrTorn, size, newest.pages, newest.pageSize)
	}
	v := &pageVerifier{file: file, meta: newest, used: make([]bool, newest.pages)}
	v.used[0], v.used[1] = true, true
	if err := v.verifyTree(newest.root, 0); err != nil {
		return err
	}
	if err := v.verifyFreelist(); err != nil {
		return err
	}
	for id, owned := range v.used {
		if !owned {
			return corruptError("page %d is neither used nor free", id)
		}
	}
	return nil
}

// readMetas returns the newer of the two meta pages.
func readMetas(file *os.File, size int64) (metaPage, error) {
	if size < minPageSize {
		return metaPage{}, fmt.Errorf("%w: %d bytes", ErrTorn, size)
	}
	first, err := readMeta(file, 0)
	if err != nil {
		return metaPage{}, err
	}
	if uint64(size) < 2*first.pageSize {
		return metaPage{}, fmt.Errorf("%w: %d bytes", ErrTorn, size)
	}
	second, err := readMeta(file, int64(first.pageSize))
	if err != nil {
		return metaPage{}, err
	}
	if first.pageSize != second.pageSize {
		return metaPage{}, corruptError("pages of %d and %d bytes", first.pageSize, second.pageSize)
	}
	switch {
	case first.transaction == second.transaction+1:
		return first, nil
	case second.transaction == first.transaction+1:
		return second, nil
	}
	return metaPage{}, corruptError("meta pages of transactions %d and %d", first.transaction, second.transaction)
}

func readMeta(file *os.File, offset int64) (metaPage, error) {
	data := make([]byte, pageHeaderBytes+metaBytes+8)
	if _, err := file.ReadAt(data, offset); err != nil {
		return metaPage{}, corruptError("meta page at %d: %v", offset, err)
	}
	fields := data[pageHeaderBytes:]
	if binary.LittleEndian.Uint32(fields) != metaMagic {
		if offset > 0 {
			return metaPage{}, corruptError("second meta page")
		}
		return metaPage{}, fmt.Errorf("%w: not a bbolt file", ErrForeign)
	}
	digest := fnv.New64a()
	_, _ = digest.Write(fields[:metaBytes])
	if binary.LittleEndian.Uint64(fields[metaBytes:]) != digest.Sum64() {
		return metaPage{}, corruptError("checksum of the meta page at %d", offset)
	}
	if version := binary.LittleEndian.Uint32(fields[4:]); version != metaVersion {
		return metaPage{}, fmt.Errorf("%w: bbolt file of version %d, not %d", ErrVersion, version, metaVersion)
	}
	read := metaPage{
		pageSize:    uint64(binary.LittleEndian.Uint32(fields[8:])),
		root:        binary.LittleEndian.Uint64(fields[16:]),
		freelist:    binary.LittleEndian.Uint64(fields[32:]),
		pages:       binary.LittleEndian.Uint64(fields[40:]),
		transaction: binary.LittleEndian.Uint64(fields[48:]),
	}
	if read.pageSize < minPageSize || read.pageSize > maxPageSize || read.pages < 4 {
		return metaPage{}, corruptError("meta page at %d: %d pages of %d bytes", offset, read.pages, read.pageSize)
	}
	return read, checkMetaPage(data, uint64(offset)/read.pageSize)
}

func checkMetaPage(data []byte, id uint64) error {
	flags := binary.LittleEndian.Uint16(data[8:])
	if binary.LittleEndian.Uint64(data) != id || flags != metaPageFlag {
		return corruptError("header of meta page %d", id)
	}
	return nil
}

// readPage returns a page and books it and its overflow as met.
func (v *pageVerifier) readPage(id uint64) (page, error) {
	if id < 2 || id >= v.meta.pages {
		return page{}, corruptError("page %d, of %d", id, v.meta.pages)
	}
	header := make([]byte, pageHeaderBytes)
	if _, err := v.file.ReadAt(header, int64(id*v.meta.pageSize)); err != nil {
		return page{}, corruptError("page %d: %v", id, err)
	}
	overflow := uint64(binary.LittleEndian.Uint32(header[12:]))
	if binary.LittleEndian.Uint64(header) != id || overflow >= v.meta.pages-id {
		return page{}, corruptError("header of page %d", id)
	}
	for owned := id; owned <= id+overflow; owned++ {
		if err := v.markUsed(owned); err != nil {
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

func (v *pageVerifier) markUsed(id uint64) error {
	if id >= v.meta.pages || v.used[id] {
		return corruptError("page %d is used twice", id)
	}
	v.used[id] = true
	return nil
}

// verifyTree checks a page of a bucket and all below it. Each page is met once at most, so a cycle ends.
func (v *pageVerifier) verifyTree(id uint64, depth int) error {
	if depth > maxTreeDepth {
		return corruptError("page %d lies %d deep", id, depth)
	}
	read, err := v.readPage(id)
	if err != nil {
		return err
	}
	switch read.flags {
	case branchPageFlag:
		return v.verifyBranch(read, depth)
	case leafPageFlag:
		return v.verifyLeaf(read, depth)
	}
	return corruptError("page %d has flags %x", id, read.flags)
}

func (v *pageVerifier) verifyBranch(read page, depth int) error {
	if read.count == 0 {
		return corruptError("branch page %d is empty", read.id)
	}
	var before []byte
	for i := range read.count {
		at := pageHeaderBytes + i*branchElementBytes
		if at+branchElementBytes > len(read.data) {
			return corruptError("branch page %d has %d elements", read.id, read.count)
		}
		element := read.data[at:]
		position, keySize := binary.LittleEndian.Uint32(element), binary.LittleEndian.Uint32(element[4:])
		key, _, err := read.keyAndValue(at, position, keySize, 0)
		if err != nil {
			return err
		}
		if i > 0 && string(key) <= string(before) {
			return corruptError("keys of branch page %d", read.id)
		}
		before = key
		if err := v.verifyTree(binary.LittleEndian.Uint64(element[8:]), depth+1); err != nil {
			return err
		}
	}
	return nil
}

func (v *pageVerifier) verifyLeaf(read page, depth int) error {
	var before []byte
	for i := range read.count {
		at := pageHeaderBytes + i*leafElementBytes
		if at+leafElementBytes > len(read.data) {
			return corruptError("leaf page %d has %d elements", read.id, read.count)
		}
		element := read.data[at:]
		flags, position := binary.LittleEndian.Uint32(element), binary.LittleEndian.Uint32(element[4:])
		keySize, valueSize := binary.LittleEndian.Uint32(element[8:]), binary.LittleEndian.Uint32(element[12:])
		key, value, err := read.keyAndValue(at, position, keySize, valueSize)
		if err != nil {
			return err
		}
		if i > 0 && string(key) <= string(before) {
			return corruptError("keys of leaf page %d", read.id)
		}
		before = key
		if flags == bucketFlag {
			err = v.verifyBucket(value, depth)
		} else if flags != 0 {
			err = corruptError("flags %x in leaf page %d", flags, read.id)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// keyAndValue returns the key and value that a page has at a position, counted from its element.
func (p page) keyAndValue(at int, position, keySize, valueSize uint32) (key, value []byte, err error) {
	start := uint64(at) + uint64(position)
	middle := start + uint64(keySize)
	end := middle + uint64(valueSize)
	if keySize == 0 || end > uint64(len(p.data)) {
		return nil, nil, corruptError("element at %d of page %d", at, p.id)
	}
	return p.data[start:middle], p.data[middle:end], nil
}

// verifyBucket checks the tree of a bucket, or the page within its value where it is small.
func (v *pageVerifier) verifyBucket(value []byte, depth int) error {
	if len(value) < bucketHeaderBytes {
		return corruptError("bucket of %d bytes", len(value))
	}
	if root := binary.LittleEndian.Uint64(value); root != 0 {
		return v.verifyTree(root, depth+1)
	}
	inline := value[bucketHeaderBytes:]
	if len(inline) < pageHeaderBytes {
		return corruptError("bucket with a page of %d bytes", len(inline))
	}
	flags, overflow := binary.LittleEndian.Uint16(inline[8:]), binary.LittleEndian.Uint32(inline[12:])
	if binary.LittleEndian.Uint64(inline) != 0 || flags != leafPageFlag || overflow != 0 || depth > maxTreeDepth {
		return corruptError("page within a bucket")
	}
	return v.verifyLeaf(page{count: int(binary.LittleEndian.Uint16(inline[10:])), data: inline}, depth+1)
}

func (v *pageVerifier) verifyFreelist() error {
	read, err := v.readPage(v.meta.freelist)
	if err != nil {
		return err
	}
	if read.flags != freelistPageFlag {
		return corruptError("free list has flags %x", read.flags)
	}
	ids := read.data[pageHeaderBytes:]
	count := uint64(read.count)
	if read.count == freelistCountInData {
		count = binary.LittleEndian.Uint64(ids)
		ids = ids[8:]
	}
	if count > uint64(len(ids)/8) {
		return corruptError("free list of %d pages", count)
	}
	for i := range count {
		if err := v.markUsed(binary.LittleEndian.Uint64(ids[8*i:])); err != nil {
			return err
		}
	}
	return nil
}
