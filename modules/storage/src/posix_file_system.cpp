#include "hickorypost/storage/posix_file_system.h"

#include <array>
#include <cerrno>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace hickorypost::storage {

namespace {

constexpr std::string_view lock_name = "lock";
constexpr mode_t file_mode = 0600;
constexpr std::size_t read_step = std::size_t{1} << 20U;

storage_error make_error(std::string path, std::string_view operation, int ec)
{
    const auto fault = ec == ENOSPC || ec == EDQUOT ? storage_fault::disk_full : storage_fault::io;
    return {fault, std::move(path),
            std::string{operation} + ": " + std::generic_category().message(ec)};
}

/// Owns a descriptor.
class descriptor {
public:
    explicit descriptor(int fd) noexcept : fd_{fd} {}
    ~descriptor()
    {
        if (fd_ >= 0) {
            ::close(fd_);
        }
    }
    descriptor(descriptor&& other) noexcept : fd_{std::exchange(other.fd_, -1)} {}
    descriptor& operator=(descriptor&&) = delete;
    descriptor(const descriptor&) = delete;
    descriptor& operator=(const descriptor&) = delete;
    [[nodiscard]] int get() const noexcept { return fd_; }
    int release() noexcept { return std::exchange(fd_, -1); }

private:
    int fd_;
};

class posix_append_file final : public append_file {
public:
    posix_append_file(std::string path, descriptor fd) noexcept
        : path_{std::move(path)}, fd_{std::move(fd)}
    {
    }

    result<void> append(std::string_view bytes) override
    {
        while (!bytes.empty()) {
            const ssize_t n = ::write(fd_.get(), bytes.data(), bytes.size());
            if (n < 0 && errno == EINTR) {
                continue;
            }
            if (n < 0) {
                return leaf::new_error(make_error(path_, "write", errno));
            }
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        return {};
    }

    result<void> sync() override
    {
        if (::fdatasync(fd_.get()) != 0) {
            auto error = make_error(path_, "fdatasync", errno);
            error.fault = storage_fault::sync_failed;
            return leaf::new_error(std::move(error));
        }
        return {};
    }

private:
    std::string path_;
    descriptor fd_;
};

} // namespace

posix_file_system::posix_file_system(std::string folder, int folder_fd, int lock_fd) noexcept
    : folder_{std::move(folder)}, folder_fd_{folder_fd}, lock_fd_{lock_fd}
{
}

posix_file_system::~posix_file_system()
{
    ::close(lock_fd_);
    ::close(folder_fd_);
}

result<std::unique_ptr<posix_file_system>> posix_file_system::open(std::string folder)
{
    std::error_code ec;
    std::filesystem::create_directories(folder, ec);
    if (ec) {
        return leaf::new_error(make_error(folder, "create folder", ec.value()));
    }
    descriptor folder_fd{::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC)};
    if (folder_fd.get() < 0) {
        return leaf::new_error(make_error(folder, "open folder", errno));
    }
    const std::string lock_path = folder + "/" + std::string{lock_name};
    descriptor lock_fd{::open(lock_path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, file_mode)};
    if (lock_fd.get() < 0) {
        return leaf::new_error(make_error(lock_path, "open", errno));
    }
    // Two processes on one folder would interleave their logs; the second must not start at all.
    if (::flock(lock_fd.get(), LOCK_EX | LOCK_NB) != 0) {
        return leaf::new_error(storage_error{storage_fault::locked, folder, {}});
    }
    return std::unique_ptr<posix_file_system>{
        new posix_file_system{std::move(folder), folder_fd.release(), lock_fd.release()}};
}

std::string posix_file_system::path_of(std::string_view name) const
{
    return folder_ + "/" + std::string{name};
}

result<std::unique_ptr<append_file>> posix_file_system::open_append(std::string_view name)
{
    const std::string path = path_of(name);
    descriptor fd{::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, file_mode)};
    if (fd.get() < 0) {
        return leaf::new_error(make_error(path, "open", errno));
    }
    return std::unique_ptr<append_file>{new posix_append_file{path, std::move(fd)}};
}

result<std::string> posix_file_system::read_file(std::string_view name)
{
    const std::string path = path_of(name);
    const descriptor fd{::open(path.c_str(), O_RDONLY | O_CLOEXEC)};
    if (fd.get() < 0) {
        return leaf::new_error(make_error(path, "open", errno));
    }
    std::string out;
    while (true) {
        const std::size_t had = out.size();
        out.resize(had + read_step);
        const ssize_t n = ::read(fd.get(), out.data() + had, read_step);
        out.resize(had + static_cast<std::size_t>(n > 0 ? n : 0));
        if (n < 0 && errno != EINTR) {
            return leaf::new_error(make_error(path, "read", errno));
        }
        if (n == 0) {
            return out;
        }
    }
}

result<std::vector<std::string>> posix_file_system::list()
{
    std::error_code ec;
    std::vector<std::string> names;
    for (std::filesystem::directory_iterator it{folder_, ec}, end; !ec && it != end;
         it.increment(ec)) {
        if (auto name = it->path().filename().string(); name != lock_name) {
            names.push_back(std::move(name));
        }
    }
    if (ec) {
        return leaf::new_error(make_error(folder_, "list", ec.value()));
    }
    return names;
}

result<void> posix_file_system::truncate(std::string_view name, std::uint64_t size)
{
    const std::string path = path_of(name);
    const descriptor fd{::open(path.c_str(), O_WRONLY | O_CLOEXEC)};
    if (fd.get() < 0 || ::ftruncate(fd.get(), static_cast<off_t>(size)) != 0) {
        return leaf::new_error(make_error(path, "truncate", errno));
    }
    if (::fsync(fd.get()) != 0) {
        return leaf::new_error(make_error(path, "fsync", errno));
    }
    return {};
}

result<void> posix_file_system::rename(std::string_view from, std::string_view to)
{
    const std::string source = path_of(from);
    if (::rename(source.c_str(), path_of(to).c_str()) != 0) {
        return leaf::new_error(make_error(source, "rename", errno));
    }
    return {};
}

result<void> posix_file_system::remove(std::string_view name)
{
    const std::string path = path_of(name);
    if (::unlink(path.c_str()) != 0) {
        return leaf::new_error(make_error(path, "remove", errno));
    }
    return {};
}

result<void> posix_file_system::sync_folder()
{
    if (::fsync(folder_fd_) != 0) {
        return leaf::new_error(make_error(folder_, "fsync folder", errno));
    }
    return {};
}

} // namespace hickorypost::storage
