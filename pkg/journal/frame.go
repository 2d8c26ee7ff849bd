package journal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A frame consists of magic number, length, checksum of the header, checksum of
// the payload, payload and trailer. The trailer is never zero, so that the part
// of a frame in its last sector reads as zeros only if that sector was not
// written. Both checksums cover the frame's offset in its file, so that a frame
// at another place, such as inside the payload of another frame, is not valid.
const (
	frameMagic      = 0x52544a31 // "RTJ1"
	frameTrailer    = 0xff
	headerBytes     = 16
	trailerBytes    = 1
	maxPayloadBytes = 1 << 30
	// sectorBytes is the smallest unit that a disk writes atomically.
	sectorBytes = 512
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends a frame that will be written at offset.
func appendFrame(b []byte, offset int64, payload []byte) []byte {
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, frameMagic)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, checksum(offset, b[start:start+8]))
	b = binary.LittleEndian.AppendUint32(b, checksum(offset, payload))
	b = append(b, payload...)
	return append(b, frameTrailer)
}

func checksum(offset int64, p []byte) uint32 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], uint64(offset))
	return crc32.Update(crc32.Checksum(seed[:], castagnoli), castagnoli, p)
}

// frameState is the state of the frame at an offset.
type frameState int

const (
	frameValid frameState = iota
	// frameTorn is a partial frame that a crash during the last write leaves.
	frameTorn
	// frameDamaged cannot result from a crash: synced data has changed.
	frameDamaged
)

// readFrame reads the frame at offset. Only the last write can be torn, since
// each is synced before the next begins. A crash leaves it as a short file, or
// with whole sectors that were never written and read as zeros. Anything else is
// damage, and so is a bad frame that is followed by a valid one.
func readFrame(file []byte, offset int64) (payload []byte, state frameState) {
	rest := file[offset:]
	if len(rest) < headerBytes {
		return nil, frameTorn
	}
	length, ok := readHeader(rest, offset)
	if !ok {
		return nil, classifyBadFrame(file, offset, int64(len(file)))
	}
	end := frameBytes(int64(length))
	if end > int64(len(rest)) {
		return nil, frameTorn
	}
	if !isPayloadValid(rest[:end], offset) {
		return nil, classifyBadFrame(file, offset, offset+end)
	}
	return rest[headerBytes : end-trailerBytes], frameValid
}

func frameBytes(payload int64) int64 { return headerBytes + payload + trailerBytes }

// isPayloadValid checks the payload and the trailer of a frame.
func isPayloadValid(frame []byte, offset int64) bool {
	end := len(frame) - trailerBytes
	return frame[end] == frameTrailer && binary.LittleEndian.Uint32(frame[12:]) == checksum(offset, frame[headerBytes:end])
}

func readHeader(rest []byte, offset int64) (length uint32, ok bool) {
	if binary.LittleEndian.Uint32(rest) != frameMagic {
		return 0, false
	}
	length = binary.LittleEndian.Uint32(rest[4:])
	ok = length <= maxPayloadBytes && binary.LittleEndian.Uint32(rest[8:]) == checksum(offset, rest[:8])
	return length, ok
}

// classifyBadFrame returns whether the bad frame in [offset, end) is torn or
// damaged.
func classifyBadFrame(file []byte, offset, end int64) frameState {
	if hasValidFrameFrom(file, offset+1) || !hasUnwrittenSector(file, offset, end) {
		return frameDamaged
	}
	return frameTorn
}

// hasValidFrameFrom reports whether there is a valid frame at offset from or later.
func hasValidFrameFrom(file []byte, from int64) bool {
	magic := binary.LittleEndian.AppendUint32(nil, frameMagic)
	for {
		i := bytes.Index(file[from:], magic)
		if i < 0 {
			return false
		}
		at := from + int64(i)
		if isValidFrame(file, at) {
			return true
		}
		from = at + 1
	}
}

func isValidFrame(file []byte, offset int64) bool {
	rest := file[offset:]
	if len(rest) < headerBytes {
		return false
	}
	length, ok := readHeader(rest, offset)
	end := frameBytes(int64(length))
	return ok && end <= int64(len(rest)) && isPayloadValid(rest[:end], offset)
}

// hasUnwrittenSector reports whether the part of some sector within
// [offset, end) is all zeros.
func hasUnwrittenSector(file []byte, offset, end int64) bool {
	for offset < end {
		next := min(end, (offset/sectorBytes+1)*sectorBytes)
		if len(bytes.Trim(file[offset:next], "\x00")) == 0 {
			return true
		}
		offset = next
	}
	return false
}

// decodeFrames calls handle with each payload in file and returns the offset
// after the last valid frame. A torn end is not an error.
func decodeFrames(file []byte, handle func(payload []byte) error) (end int64, err error) {
	for end < int64(len(file)) {
		payload, state := readFrame(file, end)
		switch state {
		case frameTorn:
			return end, nil
		case frameDamaged:
			return end, fmt.Errorf("invalid frame at offset %d", end)
		}
		if err := handle(payload); err != nil {
			return end, fmt.Errorf("record at offset %d: %w", end, err)
		}
		end += frameBytes(int64(len(payload)))
	}
	return end, nil
}
