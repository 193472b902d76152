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

	branchPage   = 0x01
	leafPage     = 0x02
	metaPage     = 0x04
	freelistPage = 0x10
	bucketFlag   = 0x01

	freelistOverflow = 0xFFFF // count of a free list whose count is its first element

	minPageSize = 1 << 10
	maxPageSize = 64 << 10
	maxDepth    = 32 // of the trees: with two keys a page at least, 2^32 pages
)

type meta struct {
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

type verifier struct {
	file  *os.File
	meta  meta
	owned []bool // by id: pages met so far
}

func corrupt(format string, arguments ...any) error {
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
	v := &verifier{file: file, meta: newest, owned: make([]bool, newest.pages)}
	v.owned[0], v.owned[1] = true, true
	if err := v.tree(newest.root, 0); err != nil {
		return err
	}
	if err := v.freelist(); err != nil {
		return err
	}
	for id, owned := range v.owned {
		if !owned {
			return corrupt("page %d is neither used nor free", id)
		}
	}
	return nil
}

// readMetas returns the newer of the two meta pages.
func readMetas(file *os.File, size int64) (meta, error) {
	if size < minPageSize {
		return meta{}, fmt.Errorf("%w: %d bytes", ErrTorn, size)
	}
	first, err := readMeta(file, 0)
	if err != nil {
		return meta{}, err
	}
	if uint64(size) < 2*first.pageSize {
		return meta{}, fmt.Errorf("%w: %d bytes", ErrTorn, size)
	}
	second, err := readMeta(file, int64(first.pageSize))
	if err != nil {
		return meta{}, err
	}
	if first.pageSize != second.pageSize {
		return meta{}, corrupt("pages of %d and %d bytes", first.pageSize, second.pageSize)
	}
	switch {
	case first.transaction == second.transaction+1:
		return first, nil
	case second.transaction == first.transaction+1:
		return second, nil
	}
	return meta{}, corrupt("meta pages of transactions %d and %d", first.transaction, second.transaction)
}

func readMeta(file *os.File, offset int64) (meta, error) {
	data := make([]byte, pageHeaderBytes+metaBytes+8)
	if _, err := file.ReadAt(data, offset); err != nil {
		return meta{}, corrupt("meta page at %d: %v", offset, err)
	}
	fields := data[pageHeaderBytes:]
	if binary.LittleEndian.Uint32(fields) != metaMagic {
		if offset > 0 {
			return meta{}, corrupt("second meta page")
		}
		return meta{}, fmt.Errorf("%w: not a bbolt file", ErrForeign)
	}
	digest := fnv.New64a()
	_, _ = digest.Write(fields[:metaBytes])
	if binary.LittleEndian.Uint64(fields[metaBytes:]) != digest.Sum64() {
		return meta{}, corrupt("checksum of the meta page at %d", offset)
	}
	if version := binary.LittleEndian.Uint32(fields[4:]); version != metaVersion {
		return meta{}, fmt.Errorf("%w: bbolt file of version %d, not %d", ErrVersion, version, metaVersion)
	}
	read := meta{
		pageSize:    uint64(binary.LittleEndian.Uint32(fields[8:])),
		root:        binary.LittleEndian.Uint64(fields[16:]),
		freelist:    binary.LittleEndian.Uint64(fields[32:]),
		pages:       binary.LittleEndian.Uint64(fields[40:]),
		transaction: binary.LittleEndian.Uint64(fields[48:]),
	}
	if read.pageSize < minPageSize || read.pageSize > maxPageSize || read.pages < 4 {
		return meta{}, corrupt("meta page at %d: %d pages of %d bytes", offset, read.pages, read.pageSize)
	}
	return read, checkMetaPage(data, uint64(offset)/read.pageSize)
}

func checkMetaPage(data []byte, id uint64) error {
	flags := binary.LittleEndian.Uint16(data[8:])
	if binary.LittleEndian.Uint64(data) != id || flags != metaPage {
		return corrupt("header of meta page %d", id)
	}
	return nil
}

// read returns a page and books it and its overflow as met.
func (v *verifier) read(id uint64) (page, error) {
	if id < 2 || id >= v.meta.pages {
		return page{}, corrupt("page %d, of %d", id, v.meta.pages)
	}
	header := make([]byte, pageHeaderBytes)
	if _, err := v.file.ReadAt(header, int64(id*v.meta.pageSize)); err != nil {
		return page{}, corrupt("page %d: %v", id, err)
	}
	overflow := uint64(binary.LittleEndian.Uint32(header[12:]))
	if binary.LittleEndian.Uint64(header) != id || overflow >= v.meta.pages-id {
		return page{}, corrupt("header of page %d", id)
	}
	for owned := id; owned <= id+overflow; owned++ {
		if err := v.own(owned); err != nil {
			return page{}, err
		}
	}
	data := make([]byte, (overflow+1)*v.meta.pageSize)
	if _, err := v.file.ReadAt(data, int64(id*v.meta.pageSize)); err != nil {
		return page{}, corrupt("page %d: %v", id, err)
	}
	return page{
		id:    id,
		flags: binary.LittleEndian.Uint16(header[8:]),
		count: int(binary.LittleEndian.Uint16(header[10:])),
		data:  data,
	}, nil
}

func (v *verifier) own(id uint64) error {
	if id >= v.meta.pages || v.owned[id] {
		return corrupt("page %d is used twice", id)
	}
	v.owned[id] = true
	return nil
}

// tree checks a page of a bucket and all below it. Each page is met once at most, so a cycle ends.
func (v *verifier) tree(id uint64, depth int) error {
	if depth > maxDepth {
		return corrupt("page %d lies %d deep", id, depth)
	}
	read, err := v.read(id)
	if err != nil {
		return err
	}
	switch read.flags {
	case branchPage:
		return v.branch(read, depth)
	case leafPage:
		return v.leaf(read, depth)
	}
	return corrupt("page %d has flags %x", id, read.flags)
}

func (v *verifier) branch(read page, depth int) error {
	if read.count == 0 {
		return corrupt("branch page %d is empty", read.id)
	}
	var before []byte
	for i := range read.count {
		at := pageHeaderBytes + i*branchElementBytes
		if at+branchElementBytes > len(read.data) {
			return corrupt("branch page %d has %d elements", read.id, read.count)
		}
		element := read.data[at:]
		position, keySize := binary.LittleEndian.Uint32(element), binary.LittleEndian.Uint32(element[4:])
		key, _, err := read.cut(at, position, keySize, 0)
		if err != nil {
			return err
		}
		if i > 0 && string(key) <= string(before) {
			return corrupt("keys of branch page %d", read.id)
		}
		before = key
		if err := v.tree(binary.LittleEndian.Uint64(element[8:]), depth+1); err != nil {
			return err
		}
	}
	return nil
}

func (v *verifier) leaf(read page, depth int) error {
	var before []byte
	for i := range read.count {
		at := pageHeaderBytes + i*leafElementBytes
		if at+leafElementBytes > len(read.data) {
			return corrupt("leaf page %d has %d elements", read.id, read.count)
		}
		element := read.data[at:]
		flags, position := binary.LittleEndian.Uint32(element), binary.LittleEndian.Uint32(element[4:])
		keySize, valueSize := binary.LittleEndian.Uint32(element[8:]), binary.LittleEndian.Uint32(element[12:])
		key, value, err := read.cut(at, position, keySize, valueSize)
		if err != nil {
			return err
		}
		if i > 0 && string(key) <= string(before) {
			return corrupt("keys of leaf page %d", read.id)
		}
		before = key
		if flags == bucketFlag {
			err = v.bucket(value, depth)
		} else if flags != 0 {
			err = corrupt("flags %x in leaf page %d", flags, read.id)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// cut returns the key and value that a page has at a position, counted from its element.
func (p page) cut(at int, position, keySize, valueSize uint32) (key, value []byte, err error) {
	start := uint64(at) + uint64(position)
	middle := start + uint64(keySize)
	end := middle + uint64(valueSize)
	if keySize == 0 || end > uint64(len(p.data)) {
		return nil, nil, corrupt("element at %d of page %d", at, p.id)
	}
	return p.data[start:middle], p.data[middle:end], nil
}

// bucket checks the tree of a bucket, or the page within its value where it is small.
func (v *verifier) bucket(value []byte, depth int) error {
	if len(value) < bucketHeaderBytes {
		return corrupt("bucket of %d bytes", len(value))
	}
	if root := binary.LittleEndian.Uint64(value); root != 0 {
		return v.tree(root, depth+1)
	}
	inline := value[bucketHeaderBytes:]
	if len(inline) < pageHeaderBytes {
		return corrupt("bucket with a page of %d bytes", len(inline))
	}
	flags, overflow := binary.LittleEndian.Uint16(inline[8:]), binary.LittleEndian.Uint32(inline[12:])
	if binary.LittleEndian.Uint64(inline) != 0 || flags != leafPage || overflow != 0 || depth > maxDepth {
		return corrupt("page within a bucket")
	}
	return v.leaf(page{count: int(binary.LittleEndian.Uint16(inline[10:])), data: inline}, depth+1)
}

func (v *verifier) freelist() error {
	read, err := v.read(v.meta.freelist)
	if err != nil {
		return err
	}
	if read.flags != freelistPage {
		return corrupt("free list has flags %x", read.flags)
	}
	ids := read.data[pageHeaderBytes:]
	count := uint64(read.count)
	if read.count == freelistOverflow {
		count = binary.LittleEndian.Uint64(ids)
		ids = ids[8:]
	}
	if count > uint64(len(ids)/8) {
		return corrupt("free list of %d pages", count)
	}
	for i := range count {
		if err := v.own(binary.LittleEndian.Uint64(ids[8*i:])); err != nil {
			return err
		}
	}
	return nil
}
