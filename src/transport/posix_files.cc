/** @file posix_files.cc File operations by POSIX calls. */
#include "transport/posix_files.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <boost/outcome/try.hpp>
#include <cerrno>
#include <system_error>

namespace gv {
namespace {

constexpr mode_t kFileMode = 0600;
constexpr mode_t kFolderMode = 0700;
constexpr size_t kReadBytes = 1U << 20U;

Verdict Failed(const char* operation, const std::string& path, int error) {
  return NotRun(Reason::kStorage,
                path + ": " + operation + ": " +
                    std::error_code(error, std::generic_category()).message());
}

/** Closes a descriptor at the end of a scope. */
class ScopedDescriptor {
 public:
  explicit ScopedDescriptor(int descriptor) : descriptor_(descriptor) {}
  ~ScopedDescriptor() {
    if (descriptor_ >= 0) {
      ::close(descriptor_);
    }
  }
  ScopedDescriptor(const ScopedDescriptor&) = delete;
  ScopedDescriptor& operator=(const ScopedDescriptor&) = delete;
  int Get() const { return descriptor_; }

 private:
  int descriptor_;  ///< The descriptor, or -1.
};

Result<void> WriteAll(int descriptor, std::string_view bytes,
                      const std::string& path) {
  while (!bytes.empty()) {
    const ssize_t written = ::write(descriptor, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written < 0) {
      return Failed("write", path, errno);
    }
    bytes.remove_prefix(static_cast<size_t>(written));
  }
  return boost::outcome_v2::success();
}

Result<void> SyncFolderOf(const std::string& path) {
  const std::string folder = path.substr(0, path.rfind('/'));
  const ScopedDescriptor descriptor(
      ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (descriptor.Get() < 0) {
    return Failed("open", folder, errno);
  }
  if (::fsync(descriptor.Get()) != 0) {
    return Failed("fsync", folder, errno);
  }
  return boost::outcome_v2::success();
}

}  // namespace

PosixFiles::~PosixFiles() {
  for (const int descriptor : {log_, lock_}) {
    if (descriptor >= 0) {
      ::close(descriptor);
    }
  }
}

Result<void> PosixFiles::LockFolder(const std::string& folder) {
  if (::mkdir(folder.c_str(), kFolderMode) != 0 && errno != EEXIST) {
    return Failed("mkdir", folder, errno);
  }
  const std::string path = folder + "/lock";
  lock_ = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (lock_ < 0) {
    return Failed("open", path, errno);
  }
  if (::flock(lock_, LOCK_EX | LOCK_NB) != 0) {
    return Failed("another process uses this folder", path, errno);
  }
  return boost::outcome_v2::success();
}

Result<std::optional<std::string>> PosixFiles::Read(const std::string& path) {
  const ScopedDescriptor descriptor(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (descriptor.Get() < 0 && errno == ENOENT) {
    return std::optional<std::string>();
  }
  if (descriptor.Get() < 0) {
    return Failed("open", path, errno);
  }
  std::string bytes;
  std::string buffer(kReadBytes, '\0');
  while (true) {
    const ssize_t got = ::read(descriptor.Get(), buffer.data(), buffer.size());
    if (got < 0 && errno == EINTR) {
      continue;
    }
    if (got < 0) {
      return Failed("read", path, errno);
    }
    if (got == 0) {
      return std::optional<std::string>(std::move(bytes));
    }
    bytes.append(buffer, 0, static_cast<size_t>(got));
  }
}

Result<void> PosixFiles::Replace(const std::string& path,
                                 std::string_view bytes) {
  const std::string temporary = path + ".tmp";
  {
    const ScopedDescriptor descriptor(
        ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
               kFileMode));
    if (descriptor.Get() < 0) {
      return Failed("open", temporary, errno);
    }
    BOOST_OUTCOME_TRY(WriteAll(descriptor.Get(), bytes, temporary));
    if (::fsync(descriptor.Get()) != 0) {
      return Failed("fsync", temporary, errno);
    }
  }
  if (::rename(temporary.c_str(), path.c_str()) != 0) {
    return Failed("rename", path, errno);
  }
  return SyncFolderOf(path);
}

Result<void> PosixFiles::OpenLog(const std::string& path, uint64_t length) {
  if (log_ >= 0) {
    ::close(log_);
  }
  log_path_ = path;
  log_ = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                kFileMode);
  if (log_ < 0) {
    return Failed("open", path, errno);
  }
  if (::ftruncate(log_, static_cast<off_t>(length)) != 0) {
    return Failed("truncate", path, errno);
  }
  if (::fsync(log_) != 0) {
    return Failed("fsync", path, errno);
  }
  return SyncFolderOf(path);
}

Result<void> PosixFiles::AppendLog(std::string_view bytes) {
  BOOST_OUTCOME_TRY(WriteAll(log_, bytes, log_path_));
  if (::fdatasync(log_) != 0) {
    return Failed("fsync", log_path_, errno);
  }
  return boost::outcome_v2::success();
}

void PosixFiles::Remove(const std::string& path) { ::unlink(path.c_str()); }

}  // namespace gv
