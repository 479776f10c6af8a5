#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hickorypost::dispatch {

/// Puts an answer together from pieces that may come twice, late or with gaps, and holds back its
/// end mark until the bill is durable.
class answer_stream {
public:
    /// Takes bytes at an offset; false if bytes before it are missing (they must be asked for).
    bool take(std::uint64_t offset, std::string_view bytes);
    /// Starts again from nothing, for another attempt or stage.
    void reset();

    /// Bytes of an event stream that may be shown now: all but the end mark and what could be the
    /// beginning of it.
    std::string_view showable();
    /// The rest, once the bill is durable.
    std::string_view rest();

    [[nodiscard]] std::uint64_t size() const noexcept { return bytes_.size(); }
    [[nodiscard]] std::uint64_t shown() const noexcept { return shown_; }
    [[nodiscard]] std::string_view all() const noexcept { return bytes_; }

private:
    std::string bytes_;
    std::size_t shown_ = 0;
};

} // namespace hickorypost::dispatch
