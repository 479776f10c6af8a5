#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hickorypost::dispatch {

/// Reassembles an answer from pieces that may be duplicated, delayed or lost, and withholds the
/// end marker of the event stream until the usage is durable in the ledger.
class answer_stream {
public:
    /// Appends the bytes at `offset` that are not yet stored. Returns false and stores nothing if
    /// earlier bytes are missing; the caller must request them again.
    bool append(std::uint64_t offset, std::string_view bytes);
    /// Discards all bytes before another attempt or stage.
    void reset();

    /// Returns the undelivered bytes up to the end marker, or up to a suffix that could be the
    /// beginning of it, and counts them as delivered.
    std::string_view take_deliverable();
    /// Returns all undelivered bytes, the end marker included, and counts them as delivered. Call
    /// it only once the usage is durable.
    std::string_view take_undelivered();

    [[nodiscard]] std::uint64_t size() const noexcept { return bytes_.size(); }
    [[nodiscard]] std::uint64_t delivered() const noexcept { return delivered_; }
    [[nodiscard]] std::string_view all() const noexcept { return bytes_; }

private:
    std::string bytes_;
    std::size_t delivered_ = 0;
};

} // namespace hickorypost::dispatch
