#pragma once
/// The port through which storage reaches a disk. Real files in posix_file_system.h; tests inject
/// failures at each write, sync and rename.

#include "hickorypost/base/result.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hickorypost::storage {

enum class storage_fault : std::uint8_t {
    io,          ///< the operating system refused an operation
    disk_full,   ///< no space left; nothing that was acknowledged is touched
    damaged,     ///< bytes that were synced read back wrong; never skipped over
    locked,      ///< another process owns the data folder
    sync_failed, ///< a sync failed once; the file's state is unknown from then on
};

/// An error of the storage layer with the file and the operation that met it.
struct storage_error {
    storage_fault fault = storage_fault::io;
    std::string path;
    std::string detail;
};

std::string describe(const storage_error& error);

/// An open file that is appended to.
class append_file {
public:
    virtual ~append_file() = default;
    /// Appends all of `bytes` or fails; after a failure the file's tail is undefined.
    virtual result<void> append(std::string_view bytes) = 0;
    /// Returns once all appended bytes would survive a power loss.
    virtual result<void> sync() = 0;
};

/// A folder of flat files. Names are relative; changes of names last only after `sync_folder`.
class file_system {
public:
    virtual ~file_system() = default;
    virtual result<std::unique_ptr<append_file>> open_append(std::string_view name) = 0;
    virtual result<std::string> read_file(std::string_view name) = 0;
    virtual result<std::vector<std::string>> list() = 0;
    virtual result<void> truncate(std::string_view name, std::uint64_t size) = 0;
    virtual result<void> rename(std::string_view from, std::string_view to) = 0;
    virtual result<void> remove(std::string_view name) = 0;
    virtual result<void> sync_folder() = 0;
};

/// Writes `bytes` beside `name`, syncs and renames, so that a reader sees the old or the new whole.
result<void> replace_file(file_system& fs, std::string_view name, std::string_view bytes);

} // namespace hickorypost::storage
