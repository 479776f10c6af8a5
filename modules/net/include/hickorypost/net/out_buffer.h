#pragma once

#include "hickorypost/base/buffer.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace hickorypost::net {

/// Bytes that wait to be written to a socket. Memory of written bytes is freed while the rest
/// waits: otherwise a peer that always lags a little would hold all that was ever sent to it, and
/// the process would end at its memory limit.
class out_buffer {
public:
    void push(std::string_view bytes) { bytes_.append(bytes); }
    /// For writers that append in place.
    [[nodiscard]] std::string& tail() noexcept { return bytes_; }
    [[nodiscard]] std::string_view pending() const noexcept
    {
        return std::string_view{bytes_}.substr(written_);
    }
    [[nodiscard]] std::size_t size() const noexcept { return bytes_.size() - written_; }
    [[nodiscard]] bool empty() const noexcept { return size() == 0; }
    /// The first `n` pending bytes have been written.
    void consume(std::size_t n)
    {
        written_ += n;
        if (written_ == bytes_.size()) {
            clear();
        } else if (written_ >= min_freed_bytes && written_ >= size()) {
            // A new string, since `erase` would keep the memory.
            std::string{pending()}.swap(bytes_);
            written_ = 0;
        }
    }
    void clear() noexcept
    {
        clear_buffer(bytes_);
        written_ = 0;
    }
    /// Bytes kept in memory, written ones included.
    [[nodiscard]] std::size_t held() const noexcept { return bytes_.size(); }
    /// Memory allocated, in bytes.
    [[nodiscard]] std::size_t capacity() const noexcept { return allocated_bytes(bytes_); }

private:
    /// Copying the rest costs less than the system call that wrote as much as this.
    static constexpr std::size_t min_freed_bytes = std::size_t{16} << 10U;

    std::string bytes_;
    std::size_t written_ = 0;
};

} // namespace hickorypost::net
