#include "hickorypost/gateway/event_splitter.h"

#include "hickorypost/base/buffer.h"

#include <charconv>

namespace hickorypost::gateway {

namespace {

/// The number in an event's `id` line; nothing if there is no such line or number.
std::optional<std::uint64_t> parse_event_id(std::string_view event)
{
    constexpr std::string_view name = "id:";
    while (!event.empty()) {
        const auto line = event.substr(0, event.find('\n'));
        if (line.starts_with(name)) {
            auto digits = line.substr(name.size());
            digits.remove_prefix(std::min(digits.find_first_not_of(' '), digits.size()));
            std::uint64_t out = 0;
            const auto [end, ec] =
                std::from_chars(digits.data(), digits.data() + digits.size(), out);
            return ec == std::errc{} ? std::optional{out} : std::nullopt;
        }
        event.remove_prefix(std::min(line.size() + 1, event.size()));
    }
    return std::nullopt;
}

/// Offset of the end of the first complete event, or npos. None ends within the first `searched`
/// bytes.
std::size_t end_of_event(std::string_view text, std::size_t searched)
{
    constexpr std::size_t longest_end = 4;
    const std::size_t from = searched < longest_end ? 0 : searched - longest_end + 1;
    const auto lf_end = text.find("\n\n", from);
    const auto crlf_end = text.find("\r\n\r\n", from);
    if (lf_end == std::string_view::npos && crlf_end == std::string_view::npos) {
        return std::string_view::npos;
    }
    return lf_end < crlf_end ? lf_end + 2 : crlf_end + 4;
}

} // namespace

std::string event_splitter::push(std::string_view bytes)
{
    if (too_large_) {
        return {};
    }
    partial_event_.append(bytes);
    std::string out;
    std::string_view rest = partial_event_;
    for (auto end = end_of_event(rest, searched_); end != std::string_view::npos;
         end = end_of_event(rest, 0)) {
        const auto event = rest.substr(0, end);
        if (accept(event)) {
            out.append(event);
        }
        rest.remove_prefix(end);
    }
    partial_event_.erase(0, partial_event_.size() - rest.size());
    searched_ = partial_event_.size();
    if (partial_event_.size() > max_event_bytes) {
        restart();
        too_large_ = true;
    }
    return out;
}

void event_splitter::restart()
{
    clear_buffer(partial_event_);
    searched_ = 0;
    too_large_ = false;
}

bool event_splitter::accept(std::string_view event)
{
    const auto id = parse_event_id(event);
    if (!id) {
        return true; // a comment, or an event without an id
    }
    if (last_id_ && *id <= *last_id_) {
        return false;
    }
    if (last_id_ && *id != *last_id_ + 1) {
        out_of_order_ = true;
        return false;
    }
    last_id_ = id;
    ++events_;
    return true;
}

} // namespace hickorypost::gateway
