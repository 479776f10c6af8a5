#pragma once
/// Lossless compression of large texts for the network, the log and the disk.

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace hickorypost {

/// Compresses `text` with zstd at level 1, its fastest regular level. Returns `text` unchanged if
/// zstd fails, which `unpack` accepts as well.
std::string pack(std::string_view text);

/// Reverses `pack`. Returns uncompressed input unchanged, so that older logs stay readable. Returns
/// nothing if the data is corrupt or its decompressed size exceeds `limit` bytes.
std::optional<std::string> unpack(std::string_view packed,
                                  std::size_t limit = std::size_t{64} << 20U);

} // namespace hickorypost
