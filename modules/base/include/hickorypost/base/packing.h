#pragma once
/// Lossless packing of large texts for the network, the log and the disk.

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace hickorypost {

/// Compresses `text` with zstd at its fastest regular level.
std::string pack(std::string_view text);

/// Reverses `pack`. Returns bytes that were never packed as they are, so that older logs stay
/// readable, and nothing if the bytes are damaged or unpack to more than `limit`.
std::optional<std::string> unpack(std::string_view packed,
                                  std::size_t limit = std::size_t{64} << 20U);

} // namespace hickorypost
