package raftlog

import "encoding/binary"

// verifyTree checks a page of a tree, which is at a depth below the root bucket, and all pages below it. Each page may be used
// only once, so a cycle is an error.
func (v *pageVerifier) verifyTree(id uint64, depth int) error {
	if depth > maxTreeDepth {
		return corruptError("page %d at depth %d, want at most %d", id, depth, maxTreeDepth)
	}
	p, err := v.readPage(id)
	if err != nil {
		return err
	}
	switch p.flags {
	case branchPageFlag:
		return v.verifyBranch(p, depth)
	case leafPageFlag:
		return v.verifyLeaf(p, depth)
	}
	return corruptError("page %d has flags %#x, want a branch or leaf page", id, p.flags)
}

// elementHeader is the header of an element of a branch or leaf page.
type elementHeader struct {
	offset    uint32 // offset of the key from the start of the element
	keySize   uint32
	valueSize uint32 // 0 in a branch element
	flags     uint32 // 0 in a branch element
	child     uint64 // page id of the child; 0 in a leaf element
}

// decodeBranchElement decodes the header of a branch element. data must have at least branchElementBytes.
func decodeBranchElement(data []byte) elementHeader {
	return elementHeader{
		offset:  binary.LittleEndian.Uint32(data),
		keySize: binary.LittleEndian.Uint32(data[4:]),
		child:   binary.LittleEndian.Uint64(data[8:]),
	}
}

// decodeLeafElement decodes the header of a leaf element. data must have at least leafElementBytes.
func decodeLeafElement(data []byte) elementHeader {
	return elementHeader{
		flags:     binary.LittleEndian.Uint32(data),
		offset:    binary.LittleEndian.Uint32(data[4:]),
		keySize:   binary.LittleEndian.Uint32(data[8:]),
		valueSize: binary.LittleEndian.Uint32(data[12:]),
	}
}

// verifyBranch checks the elements of a branch page and the trees below it.
func (v *pageVerifier) verifyBranch(branch page, depth int) error {
	if branch.count == 0 {
		return corruptError("branch page %d is empty", branch.id)
	}
	return branch.visitElements(branchElementBytes, decodeBranchElement, func(header elementHeader, _ []byte) error {
		return v.verifyTree(header.child, depth+1)
	})
}

// verifyLeaf checks the elements of a leaf page and the buckets in it.
func (v *pageVerifier) verifyLeaf(leaf page, depth int) error {
	return leaf.visitElements(leafElementBytes, decodeLeafElement, func(header elementHeader, value []byte) error {
		switch header.flags {
		case 0:
			return nil
		case bucketFlag:
			return v.verifyBucket(value, depth)
		}
		return corruptError("leaf page %d has an element with flags %#x, want 0 or %#x", leaf.id, header.flags, bucketFlag)
	})
}

// visitElements calls visit for each element with its value. Before each call it checks that the element lies within the page
// and that its key is greater than the previous one.
func (p page) visitElements(elementBytes int, decode func(data []byte) elementHeader,
	visit func(header elementHeader, value []byte) error) error {
	var previousKey []byte
	for i := range p.count {
		start := pageHeaderBytes + i*elementBytes
		if start+elementBytes > len(p.data) {
			return corruptError("page %d of %d bytes is too small for %d elements", p.id, len(p.data), p.count)
		}
		header := decode(p.data[start:])
		key, value, err := p.keyAndValue(start, header)
		if err != nil {
			return err
		}
		if i > 0 && string(key) <= string(previousKey) {
			return corruptError("page %d: key of element %d is not greater than the previous one", p.id, i)
		}
		previousKey = key
		if err := visit(header, value); err != nil {
			return err
		}
	}
	return nil
}

// keyAndValue returns the key and value of the element that starts at offset elementStart of the page.
func (p page) keyAndValue(elementStart int, header elementHeader) (key, value []byte, err error) {
	keyStart := uint64(elementStart) + uint64(header.offset)
	keyEnd := keyStart + uint64(header.keySize)
	valueEnd := keyEnd + uint64(header.valueSize)
	if header.keySize == 0 || valueEnd > uint64(len(p.data)) {
		return nil, nil, corruptError("page %d of %d bytes: element at offset %d has its key at %d to %d and its value up to %d", p.id,
			len(p.data), elementStart, keyStart, keyEnd, valueEnd)
	}
	return p.data[keyStart:keyEnd], p.data[keyEnd:valueEnd], nil
}

// verifyBucket checks the value of a bucket element: the tree from its root page, or the inline page of a small bucket.
func (v *pageVerifier) verifyBucket(value []byte, depth int) error {
	if len(value) < bucketHeaderBytes {
		return corruptError("bucket has %d bytes, want at least %d", len(value), bucketHeaderBytes)
	}
	if root := binary.LittleEndian.Uint64(value); root != 0 {
		return v.verifyTree(root, depth+1)
	}
	inline := value[bucketHeaderBytes:]
	if len(inline) < pageHeaderBytes {
		return corruptError("inline page of a bucket has %d bytes, want at least %d", len(inline), pageHeaderBytes)
	}
	flags, overflow := binary.LittleEndian.Uint16(inline[8:]), binary.LittleEndian.Uint32(inline[12:])
	if binary.LittleEndian.Uint64(inline) != 0 || flags != leafPageFlag || overflow != 0 || depth > maxTreeDepth {
		return corruptError("inline page of a bucket has page id %d, flags %#x and %d overflow pages at depth %d, "+
			"want page id 0, flags %#x, no overflow pages and a depth of at most %d", binary.LittleEndian.Uint64(inline), flags, overflow,
			depth, leafPageFlag, maxTreeDepth)
	}
	return v.verifyLeaf(page{count: int(binary.LittleEndian.Uint16(inline[10:])), data: inline}, depth+1)
}

// verifyFreelist checks the free list and marks its pages as used.
func (v *pageVerifier) verifyFreelist() error {
	freelist, err := v.readPage(v.meta.freelist)
	if err != nil {
		return err
	}
	if freelist.flags != freelistPageFlag {
		return corruptError("free list page %d has flags %#x, want %#x", freelist.id, freelist.flags, freelistPageFlag)
	}
	ids := freelist.data[pageHeaderBytes:]
	count := uint64(freelist.count)
	if freelist.count == freelistCountInData {
		count = binary.LittleEndian.Uint64(ids)
		ids = ids[8:]
	}
	if count > uint64(len(ids)/8) {
		return corruptError("free list has %d page ids, but only %d bytes for them", count, len(ids))
	}
	for i := range count {
		if err := v.markUsed(binary.LittleEndian.Uint64(ids[8*i:])); err != nil {
			return err
		}
	}
	return nil
}
