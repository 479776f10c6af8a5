#include "hickorypost/base/packing.h"

#include <zstd.h>

namespace hickorypost {

namespace {

constexpr int compression_level = 1;
/// First bytes of every zstd frame (little-endian ZSTD_MAGICNUMBER). The texts passed to `pack` are
/// JSON, which never begins with these bytes.
constexpr std::string_view zstd_magic{"\x28\xb5\x2f\xfd", 4};

} // namespace

std::string pack(std::string_view text)
{
    std::string out(ZSTD_compressBound(text.size()), '\0');
    const std::size_t n =
        ZSTD_compress(out.data(), out.size(), text.data(), text.size(), compression_level);
    if (ZSTD_isError(n) != 0) {
        return std::string{text}; // only if out of memory; `unpack` accepts plain text
    }
    out.resize(n);
    return out;
}

std::optional<std::string> unpack(std::string_view packed, std::size_t limit)
{
    if (!packed.starts_with(zstd_magic)) {
        return std::string{packed};
    }
    const auto size = ZSTD_getFrameContentSize(packed.data(), packed.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > limit) {
        return std::nullopt;
    }
    std::string out(size, '\0');
    const std::size_t n = ZSTD_decompress(out.data(), out.size(), packed.data(), packed.size());
    if (ZSTD_isError(n) != 0 || n != size) {
        return std::nullopt;
    }
    return out;
}

} // namespace hickorypost
