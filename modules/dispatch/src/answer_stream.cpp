#include "hickorypost/dispatch/answer_stream.h"

#include <algorithm>

namespace hickorypost::dispatch {

namespace {

constexpr std::string_view end_marker = "data: [DONE]";

} // namespace

bool answer_stream::append(std::uint64_t offset, std::string_view bytes)
{
    if (offset > bytes_.size()) {
        return false;
    }
    const std::size_t known = bytes_.size() - static_cast<std::size_t>(offset);
    if (known < bytes.size()) {
        bytes_.append(bytes.substr(known));
    }
    return true;
}

void answer_stream::reset()
{
    bytes_.clear();
    delivered_ = 0;
}

std::string_view answer_stream::take_deliverable()
{
    const std::string_view fresh = std::string_view{bytes_}.substr(delivered_);
    std::size_t upto = fresh.find(end_marker);
    if (upto == std::string_view::npos) {
        // The marker may be split across pieces: withhold a suffix that could be its beginning.
        upto = fresh.size();
        for (std::size_t n = std::min(end_marker.size() - 1, fresh.size()); n > 0; --n) {
            if (fresh.ends_with(end_marker.substr(0, n))) {
                upto = fresh.size() - n;
                break;
            }
        }
    }
    delivered_ += upto;
    return fresh.substr(0, upto);
}

std::string_view answer_stream::take_undelivered()
{
    const std::string_view fresh = std::string_view{bytes_}.substr(delivered_);
    delivered_ = bytes_.size();
    return fresh;
}

} // namespace hickorypost::dispatch
