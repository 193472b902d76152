package raftlog

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"os"
)

// readMetas reads both meta pages and returns the newer one. They must be of successive transactions.
func readMetas(file *os.File, size int64) (metaPage, error) {
	if size < minPageSize {
		return metaPage{}, fmt.Errorf("%w: %d bytes, want at least one page of %d bytes", ErrTruncated, size, minPageSize)
	}
	first, err := readMeta(file, 0)
	if err != nil {
		return metaPage{}, err
	}
	if uint64(size) < 2*first.pageSize {
		return metaPage{}, fmt.Errorf("%w: %d bytes, want at least 2 pages of %d bytes", ErrTruncated, size, first.pageSize)
	}
	second, err := readMeta(file, int64(first.pageSize))
	if err != nil {
		return metaPage{}, err
	}
	if first.pageSize != second.pageSize {
		return metaPage{}, corruptError("meta pages have different page sizes %d and %d", first.pageSize, second.pageSize)
	}
	switch {
	case first.transaction == second.transaction+1:
		return first, nil
	case second.transaction == first.transaction+1:
		return second, nil
	}
	return metaPage{}, corruptError("meta pages are of transactions %d and %d, want successive ones", first.transaction, second.transaction)
}

// readMeta reads and checks the meta page at a file offset.
func readMeta(file *os.File, offset int64) (metaPage, error) {
	data := make([]byte, pageHeaderBytes+metaBytes+metaChecksumBytes)
	if _, err := file.ReadAt(data, offset); err != nil {
		return metaPage{}, corruptError("meta page at offset %d: %v", offset, err)
	}
	fields := data[pageHeaderBytes:]
	if binary.LittleEndian.Uint32(fields) != metaMagic {
		if offset > 0 {
			return metaPage{}, corruptError("meta page at offset %d has magic number %#x, want %#x", offset,
				binary.LittleEndian.Uint32(fields), uint32(metaMagic))
		}
		return metaPage{}, fmt.Errorf("%w: not a bbolt file", ErrForeign)
	}
	digest := fnv.New64a()
	_, _ = digest.Write(fields[:metaBytes])
	if binary.LittleEndian.Uint64(fields[metaBytes:]) != digest.Sum64() {
		return metaPage{}, corruptError("meta page at offset %d has checksum %x, want %x", offset, digest.Sum64(),
			binary.LittleEndian.Uint64(fields[metaBytes:]))
	}
	if version := binary.LittleEndian.Uint32(fields[4:]); version != metaVersion {
		return metaPage{}, fmt.Errorf("%w: bbolt file version %d, want %d", ErrVersion, version, metaVersion)
	}
	meta := metaPage{
		pageSize:    uint64(binary.LittleEndian.Uint32(fields[8:])),
		root:        binary.LittleEndian.Uint64(fields[16:]),
		freelist:    binary.LittleEndian.Uint64(fields[32:]),
		pages:       binary.LittleEndian.Uint64(fields[40:]),
		transaction: binary.LittleEndian.Uint64(fields[48:]),
	}
	if meta.pageSize < minPageSize || meta.pageSize > maxPageSize || meta.pages < 4 {
		return metaPage{}, corruptError("meta page at offset %d describes %d pages of %d bytes, want at least 4 pages of %d to %d bytes",
			offset, meta.pages, meta.pageSize, minPageSize, maxPageSize)
	}
	return meta, checkMetaPage(data, uint64(offset)/meta.pageSize)
}

// checkMetaPage checks the page header of a meta page.
func checkMetaPage(data []byte, id uint64) error {
	flags := binary.LittleEndian.Uint16(data[8:])
	if binary.LittleEndian.Uint64(data) != id || flags != metaPageFlag {
		return corruptError("meta page %d has a header with page id %d and flags %#x", id, binary.LittleEndian.Uint64(data), flags)
	}
	return nil
}
