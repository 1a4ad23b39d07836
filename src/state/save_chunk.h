/** @file save_chunk.h Versioned, checksummed chunks that snapshots are made of.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "state/field_codec.h"
#include "state/verdict_type.h"

namespace gv {

/** One chunk of a snapshot: the rows of one table. */
struct SaveChunk {
  std::string tag_;       ///< Four letters that name the table.
  uint32_t version_ = 0;  ///< Version of the rows' layout.
  std::string payload_;   ///< MessagePack of the rows.
};

/** Appends a chunk with its checksum to @p out. Thread safety: pure. */
void AppendChunk(const SaveChunk& chunk, std::string& out);

/**
 * Splits a snapshot into chunks and checks each checksum.
 * @return The chunks, or Reason::kStorage with tag and offset of the bad one.
 * Thread safety: pure.
 */
Result<std::vector<SaveChunk>> ReadChunks(std::string_view bytes);

/** @return A chunk of rows; each row is a plain struct. Thread safety: pure. */
template <class Row>
SaveChunk MakeChunk(std::string tag, uint32_t version,
                    const std::vector<Row>& rows) {
  std::string payload;
  nlohmann::json::to_msgpack(ToJsonField(rows), payload);
  return SaveChunk{std::move(tag), version, std::move(payload)};
}

/** Reads the rows of a chunk. Fields added by a later version keep their
 * defaults. */
template <class Row>
Result<std::vector<Row>> ReadRows(const SaveChunk& chunk) {
  try {
    std::vector<Row> rows;
    FromJsonField(nlohmann::json::from_msgpack(chunk.payload_), rows);
    return rows;
  } catch (const std::exception& error) {
    return NotRun(Reason::kStorage,
                  "snapshot chunk " + chunk.tag_ + ": " + error.what());
  }
}

}  // namespace gv
