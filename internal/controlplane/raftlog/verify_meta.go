package raftlog

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"os"
)

// readMetas returns the newer of the two meta pages. They have to be of successive transactions.
func readMetas(file *os.File, size int64) (metaPage, error) {
	if size < minPageSize {
		return metaPage{}, fmt.Errorf("%w: %d bytes, want at least one page of %d", ErrTorn, size, minPageSize)
	}
	first, err := readMeta(file, 0)
	if err != nil {
		return metaPage{}, err
	}
	if uint64(size) < 2*first.pageSize {
		return metaPage{}, fmt.Errorf("%w: %d bytes, want at least 2 pages of %d", ErrTorn, size, first.pageSize)
	}
	second, err := readMeta(file, int64(first.pageSize))
	if err != nil {
		return metaPage{}, err
	}
	if first.pageSize != second.pageSize {
		return metaPage{}, corruptError("meta pages with page sizes %d and %d", first.pageSize, second.pageSize)
	}
	switch {
	case first.transaction == second.transaction+1:
		return first, nil
	case second.transaction == first.transaction+1:
		return second, nil
	}
	return metaPage{}, corruptError("meta pages of transactions %d and %d", first.transaction, second.transaction)
}

// readMeta reads and checks the meta page at a file offset.
func readMeta(file *os.File, offset int64) (metaPage, error) {
	data := make([]byte, pageHeaderBytes+metaBytes+metaChecksumBytes)
	if _, err := file.ReadAt(data, offset); err != nil {
		return metaPage{}, corruptError("meta page at %d: %v", offset, err)
	}
	fields := data[pageHeaderBytes:]
	if binary.LittleEndian.Uint32(fields) != metaMagic {
		if offset > 0 {
			return metaPage{}, corruptError("magic number of the meta page at %d", offset)
		}
		return metaPage{}, fmt.Errorf("%w: not a bbolt file", ErrForeign)
	}
	digest := fnv.New64a()
	_, _ = digest.Write(fields[:metaBytes])
	if binary.LittleEndian.Uint64(fields[metaBytes:]) != digest.Sum64() {
		return metaPage{}, corruptError("checksum of the meta page at %d", offset)
	}
	if version := binary.LittleEndian.Uint32(fields[4:]); version != metaVersion {
		return metaPage{}, fmt.Errorf("%w: bbolt file of version %d, want %d", ErrVersion, version, metaVersion)
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

// checkMetaPage checks the page header of a meta page.
func checkMetaPage(data []byte, id uint64) error {
	flags := binary.LittleEndian.Uint16(data[8:])
	if binary.LittleEndian.Uint64(data) != id || flags != metaPageFlag {
		return corruptError("header of meta page %d", id)
	}
	return nil
}
