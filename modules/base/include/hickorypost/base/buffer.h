#pragma once

#include <algorithm>
#include <cstddef>
#include <string>

namespace hickorypost {

/// Memory that an empty buffer of a connection keeps for reuse, in bytes. A host has hundreds of
/// connections, so what each one allocated for its largest burst would exceed the host's memory.
inline constexpr std::size_t max_idle_buffer_bytes = std::size_t{4} << 10U;

/// Size from which on an allocation has pages of its own: they take memory only once they are
/// written to, and are returned to the system when the allocation is freed. See `set_up_allocator`.
inline constexpr std::size_t large_allocation_bytes = std::size_t{128} << 10U;

/// Memory that a buffer has allocated, in bytes. Short strings need none.
inline std::size_t allocated_bytes(const std::string& it) noexcept
{
    return it.capacity() > std::string{}.capacity() ? it.capacity() : 0;
}

/// Memory that a buffer takes which only grows, in bytes. What was reserved takes none before it is
/// written to.
inline std::size_t memory_of(const std::string& it) noexcept
{
    const bool is_large = it.capacity() >= large_allocation_bytes;
    return is_large ? it.size() : std::min(it.capacity(), 2 * it.size());
}

/// Empties a buffer for reuse, and frees its memory if a burst has made it large.
inline void clear_buffer(std::string& it) noexcept
{
    if (it.capacity() > max_idle_buffer_bytes) {
        std::string{}.swap(it);
    } else {
        it.clear();
    }
}

} // namespace hickorypost
