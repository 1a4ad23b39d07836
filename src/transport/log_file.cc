/** @file log_file.cc Records of the log file and rows of the small files. */
#include "transport/log_file.h"

#include <boost/outcome/try.hpp>
#include <utility>

#include "state/log_frame.h"
#include "state/number_codec.h"
#include "state/save_chunk.h"

namespace gv {
namespace {

constexpr uint32_t kFileVersion = 1;
constexpr const char* kIdentityTag = "IDEN";
constexpr const char* kVoteTag = "VOTE";
constexpr const char* kSnapshotTag = "SNAP";
constexpr const char* kBodyTag = "BODY";

/** The kinds of record in the log file. */
enum class LogRecordKind : uint8_t { kTruncate = 1, kEntry = 2 };

constexpr size_t kTruncateBytes = 1 + 8;
constexpr size_t kEntryHeadBytes = 1 + 8 + 8 + 1 + 4;

Verdict BadFile(const std::string& name, const std::string& why) {
  return NotRun(Reason::kStorage, name + ": " + why);
}

/** Reads the only row of the chunk at @p position. */
template <class Row>
Result<Row> OnlyRow(const std::vector<SaveChunk>& chunks, size_t position,
                    const char* tag, const std::string& name) {
  if (chunks.size() <= position || chunks[position].tag_ != tag) {
    return BadFile(name, std::string("expected chunk ") + tag);
  }
  Result<std::vector<Row>> rows = ReadRows<Row>(chunks[position]);
  if (!rows.has_value()) {
    return BadFile(name, rows.error().detail_);
  }
  if (rows.value().size() != 1) {
    return BadFile(name, std::string("expected one row in chunk ") + tag);
  }
  return std::move(rows.value().front());
}

template <class Row>
Result<Row> DecodeRow(std::string_view bytes, const char* tag,
                      const std::string& name) {
  Result<std::vector<SaveChunk>> chunks = ReadChunks(bytes);
  if (!chunks.has_value()) {
    return BadFile(name, chunks.error().detail_);
  }
  return OnlyRow<Row>(chunks.value(), 0, tag, name);
}

template <class Row>
std::string EncodeRow(const Row& row, const char* tag) {
  std::string bytes;
  AppendChunk(MakeChunk(tag, kFileVersion, std::vector<Row>{row}), bytes);
  return bytes;
}

/** Reads the records of one frame. */
class RecordReader {
 public:
  RecordReader(std::string_view bytes, LogIndex base,
               std::vector<LogEntry>& entries)
      : bytes_(bytes), base_(base), entries_(entries) {}

  /** @return Empty, or what is wrong. */
  std::string ReadAll() {
    std::string problem;
    while (problem.empty() && !bytes_.empty()) {
      const auto kind = static_cast<LogRecordKind>(bytes_[0]);
      if (kind == LogRecordKind::kTruncate && bytes_.size() >= kTruncateBytes) {
        problem = ReadTruncate();
      } else if (kind == LogRecordKind::kEntry &&
                 bytes_.size() >= kEntryHeadBytes) {
        problem = ReadEntry();
      } else {
        problem = "unknown record";
      }
    }
    return problem;
  }

 private:
  LogIndex Last() const { return LogIndex(base_.Value() + entries_.size()); }

  std::string ReadTruncate() {
    const LogIndex from(ReadNumber<uint64_t>(bytes_.substr(1)));
    if (from <= base_) {
      return "entries of the snapshot are removed";
    }
    while (Last() >= from) {
      entries_.pop_back();
    }
    bytes_.remove_prefix(kTruncateBytes);
    return "";
  }

  std::string ReadEntry() {
    LogEntry entry;
    entry.index_ = LogIndex(ReadNumber<uint64_t>(bytes_.substr(1)));
    entry.term_ = Term(ReadNumber<uint64_t>(bytes_.substr(9)));
    entry.kind_ = static_cast<EntryKind>(bytes_[17]);
    const auto length = ReadNumber<uint32_t>(bytes_.substr(18));
    bytes_.remove_prefix(kEntryHeadBytes);
    if (entry.kind_ > EntryKind::kMembership) {
      return "unknown kind of entry";
    }
    if (length > bytes_.size()) {
      return "an entry is longer than its record";
    }
    if (entry.index_ != Last().Next()) {
      return "entry " + std::to_string(entry.index_.Value()) + " follows " +
             std::to_string(Last().Value());
    }
    entry.payload_ = std::string(bytes_.substr(0, length));
    bytes_.remove_prefix(length);
    entries_.push_back(std::move(entry));
    return "";
  }

  std::string_view bytes_;          ///< What is left of the frame.
  LogIndex base_;                   ///< Index before the first entry.
  std::vector<LogEntry>& entries_;  ///< All entries so far.
};

}  // namespace

std::string EncodeIdentity(const DiskIdentity& identity) {
  return EncodeRow(identity, kIdentityTag);
}

Result<DiskIdentity> DecodeIdentity(std::string_view bytes,
                                    const std::string& name) {
  return DecodeRow<DiskIdentity>(bytes, kIdentityTag, name);
}

std::string EncodeVote(const DiskVote& vote) {
  return EncodeRow(vote, kVoteTag);
}

Result<DiskVote> DecodeVote(std::string_view bytes, const std::string& name) {
  return DecodeRow<DiskVote>(bytes, kVoteTag, name);
}

std::string EncodeSnapshotFile(const SnapshotFile& file) {
  std::string bytes = EncodeRow(file.head_, kSnapshotTag);
  AppendChunk(SaveChunk{kBodyTag, kFileVersion, file.data_}, bytes);
  return bytes;
}

Result<SnapshotFile> DecodeSnapshotFile(std::string_view bytes,
                                        const std::string& name) {
  Result<std::vector<SaveChunk>> chunks = ReadChunks(bytes);
  if (!chunks.has_value()) {
    return BadFile(name, chunks.error().detail_);
  }
  BOOST_OUTCOME_TRY(
      SnapshotHead head,
      OnlyRow<SnapshotHead>(chunks.value(), 0, kSnapshotTag, name));
  if (chunks.value().size() != 2 || chunks.value()[1].tag_ != kBodyTag) {
    return BadFile(name, "expected chunk BODY");
  }
  return SnapshotFile{head, std::move(chunks.value()[1].payload_)};
}

void AppendTruncateRecord(LogIndex from, std::string& out) {
  AppendNumber(static_cast<uint8_t>(LogRecordKind::kTruncate), out);
  AppendNumber(from.Value(), out);
}

void AppendEntryRecord(const LogEntry& entry, std::string& out) {
  AppendNumber(static_cast<uint8_t>(LogRecordKind::kEntry), out);
  AppendNumber(entry.index_.Value(), out);
  AppendNumber(entry.term_.Value(), out);
  AppendNumber(static_cast<uint8_t>(entry.kind_), out);
  AppendNumber(static_cast<uint32_t>(entry.payload_.size()), out);
  out += entry.payload_;
}

Result<LogContent> ReadLog(std::string_view bytes, LogIndex base,
                           const std::string& name) {
  BOOST_OUTCOME_TRY(const FrameScan scan, ScanFrames(bytes, name));
  LogContent content;
  content.valid_bytes_ = scan.valid_bytes_;
  for (const LogFrame& frame : scan.frames_) {
    const std::string problem =
        RecordReader(frame.payload_, base, content.entries_).ReadAll();
    if (!problem.empty()) {
      return BadFile(name,
                     "byte " + std::to_string(frame.offset_) + ": " + problem);
    }
  }
  return content;
}

}  // namespace gv
