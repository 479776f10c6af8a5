#include "hickorypost/base/packing.h"

#include <zstd.h>

namespace hickorypost {

namespace {

constexpr int pack_level = 1;
/// The first bytes of every packed text (little-endian ZSTD_MAGICNUMBER). No text that is packed
/// here, which is JSON, begins with them.
constexpr std::string_view packed_mark{"\x28\xb5\x2f\xfd", 4};

} // namespace

std::string pack(std::string_view text)
{
    std::string out(ZSTD_compressBound(text.size()), '\0');
    const std::size_t n =
        ZSTD_compress(out.data(), out.size(), text.data(), text.size(), pack_level);
    if (ZSTD_isError(n) != 0) {
        return std::string{text}; // only for lack of memory; it is readable unpacked as well
    }
    out.resize(n);
    return out;
}

std::optional<std::string> unpack(std::string_view packed, std::size_t limit)
{
    if (!packed.starts_with(packed_mark)) {
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
