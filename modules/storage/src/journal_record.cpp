#include "journal_record_priv.h"

#include "hickorypost/base/ids.h"

#include <cstring>

namespace hickorypost::storage::detail {

namespace {

constexpr std::uint32_t magic = 0x48504A31; // "HPJ1"

/// Fixed-size prefix of a record; little-endian hosts only, as all that Debian runs this on are.
struct header {
    std::uint32_t magic = 0;
    std::uint32_t payload_bytes = 0;
    std::uint64_t sequence = 0;
    std::uint64_t synced_sequence = 0;
    std::uint64_t tag = 0;
    std::uint64_t checksum = 0; ///< over the fields above and the payload
};
static_assert(sizeof(header) == 40);

std::uint64_t checksum_of(const header& head, std::string_view payload) noexcept
{
    header plain = head;
    plain.checksum = 0;
    std::string_view bytes{reinterpret_cast<const char*>(&plain), sizeof plain};
    return hash_bytes(payload, hash_bytes(bytes));
}

} // namespace

std::size_t record_bytes(const journal_record& record) noexcept
{
    return sizeof(header) + record.payload.size();
}

void append_record(std::string& out, const journal_record& record)
{
    header head{magic,           static_cast<std::uint32_t>(record.payload.size()),
                record.sequence, record.synced_sequence,
                record.tag,      0};
    head.checksum = checksum_of(head, record.payload);
    out.append(reinterpret_cast<const char*>(&head), sizeof head);
    out.append(record.payload);
}

std::optional<journal_record> read_record(std::string_view bytes) noexcept
{
    header head;
    if (bytes.size() < sizeof head) {
        return std::nullopt;
    }
    std::memcpy(&head, bytes.data(), sizeof head);
    if (head.magic != magic || bytes.size() - sizeof head < head.payload_bytes) {
        return std::nullopt;
    }
    const std::string_view payload = bytes.substr(sizeof head, head.payload_bytes);
    if (checksum_of(head, payload) != head.checksum) {
        return std::nullopt;
    }
    return journal_record{head.sequence, head.synced_sequence, head.tag, payload};
}

bool proves_synced(std::string_view bytes, std::uint64_t sequence) noexcept
{
    std::string_view pattern{reinterpret_cast<const char*>(&magic), sizeof magic};
    for (std::size_t at = bytes.find(pattern); at != std::string_view::npos;
         at = bytes.find(pattern, at + 1)) {
        if (const auto record = read_record(bytes.substr(at));
            record && record->synced_sequence >= sequence) {
            return true;
        }
    }
    return false;
}

} // namespace hickorypost::storage::detail
