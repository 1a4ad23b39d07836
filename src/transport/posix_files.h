/** @file posix_files.h The file operations that the durable log needs. */
#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "state/verdict_type.h"

namespace gv {

/** File operations of one data folder; each gives Reason::kStorage with file
 * and cause on failure. */
template <class T>
concept FileOperations = requires(T files, const std::string& path,
                                  std::string_view bytes, uint64_t length) {
  { files.LockFolder(path) } -> std::same_as<Result<void>>;
  { files.Read(path) } -> std::same_as<Result<std::optional<std::string>>>;
  { files.Replace(path, bytes) } -> std::same_as<Result<void>>;
  { files.OpenLog(path, length) } -> std::same_as<Result<void>>;
  { files.AppendLog(bytes) } -> std::same_as<Result<void>>;
  { files.Remove(path) } -> std::same_as<void>;
};

/** The operations by POSIX calls. Thread safety: one thread at a time. */
class PosixFiles {
 public:
  PosixFiles() = default;
  ~PosixFiles();
  PosixFiles(const PosixFiles&) = delete;
  PosixFiles& operator=(const PosixFiles&) = delete;

  /** Creates the folder if needed and keeps other processes out of it. */
  Result<void> LockFolder(const std::string& folder);
  /** @return The content, or nothing if the file does not exist. */
  Result<std::optional<std::string>> Read(const std::string& path);
  /** Replaces a file so that after a crash either the old or the new one is
   * there, whole. */
  Result<void> Replace(const std::string& path, std::string_view bytes);
  /** Opens the log for AppendLog, creates it if needed and cuts it to
   * @p length bytes. */
  Result<void> OpenLog(const std::string& path, uint64_t length);
  /** Appends to the log and syncs it. */
  Result<void> AppendLog(std::string_view bytes);
  /** Removes a file that is no longer needed; a failure is harmless. */
  void Remove(const std::string& path);

 private:
  int lock_ = -1;         ///< Descriptor that holds the lock, or -1.
  int log_ = -1;          ///< Descriptor of the log, or -1.
  std::string log_path_;  ///< For messages.
};

static_assert(FileOperations<PosixFiles>);

}  // namespace gv
