#pragma once

#include "hickorypost/storage/file_system.h"

namespace hickorypost::storage {

/// Real files in one folder, which is created if missing and locked against a second process.
class posix_file_system final : public file_system {
public:
    /// Opens and locks the folder; fails with `storage_error`.
    static result<std::unique_ptr<posix_file_system>> open(std::string folder);

    ~posix_file_system() override;
    posix_file_system(const posix_file_system&) = delete;
    posix_file_system& operator=(const posix_file_system&) = delete;

    result<std::unique_ptr<append_file>> open_append(std::string_view name) override;
    result<std::string> read_file(std::string_view name) override;
    result<std::vector<std::string>> list() override;
    result<void> truncate(std::string_view name, std::uint64_t size) override;
    result<void> rename(std::string_view from, std::string_view to) override;
    result<void> remove(std::string_view name) override;
    result<void> sync_folder() override;

private:
    posix_file_system(std::string folder, int folder_fd, int lock_fd) noexcept;
    [[nodiscard]] std::string path_of(std::string_view name) const;

    std::string folder_;
    int folder_fd_;
    int lock_fd_;
};

} // namespace hickorypost::storage
