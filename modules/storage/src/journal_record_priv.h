#pragma once
/// The bytes of one journal record.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hickorypost::storage::detail {

/// A record as it stands in a segment: header, then payload.
struct journal_record {
    std::uint64_t sequence = 0;
    std::uint64_t synced_sequence = 0; ///< journal was synced up to here when this was written
    std::uint64_t tag = 0;
    std::string_view payload;
};

/// Size of a record's bytes with this payload.
std::size_t record_bytes(const journal_record& record) noexcept;

void append_record(std::string& out, const journal_record& record);

/// The record at the start of `bytes`, or nothing when it is cut short or its checksum is wrong.
std::optional<journal_record> read_record(std::string_view bytes) noexcept;

/// Looks for a valid record anywhere in `bytes` that says `sequence` had been synced.
bool proves_synced(std::string_view bytes, std::uint64_t sequence) noexcept;

} // namespace hickorypost::storage::detail
