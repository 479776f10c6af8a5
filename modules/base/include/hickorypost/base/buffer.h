#pragma once

#include <cstddef>
#include <string>

namespace hickorypost {

/// Memory that an empty buffer of a connection keeps for reuse, in bytes. A host has hundreds of
/// connections, so what each one allocated for its largest burst would exceed the host's memory.
inline constexpr std::size_t max_idle_buffer_bytes = std::size_t{16} << 10U;

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
