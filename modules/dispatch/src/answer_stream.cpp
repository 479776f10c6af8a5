#include "hickorypost/dispatch/answer_stream.h"

#include <algorithm>

namespace hickorypost::dispatch {

namespace {

constexpr std::string_view end_mark = "data: [DONE]";

} // namespace

bool answer_stream::take(std::uint64_t offset, std::string_view bytes)
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
    shown_ = 0;
}

std::string_view answer_stream::showable()
{
    const std::string_view fresh = std::string_view{bytes_}.substr(shown_);
    std::size_t upto = fresh.find(end_mark);
    if (upto == std::string_view::npos) {
        // The mark may be cut across pieces: keep back a tail that could be its beginning.
        upto = fresh.size();
        for (std::size_t n = std::min(end_mark.size() - 1, fresh.size()); n > 0; --n) {
            if (fresh.ends_with(end_mark.substr(0, n))) {
                upto = fresh.size() - n;
                break;
            }
        }
    }
    shown_ += upto;
    return fresh.substr(0, upto);
}

std::string_view answer_stream::rest()
{
    const std::string_view fresh = std::string_view{bytes_}.substr(shown_);
    shown_ = bytes_.size();
    return fresh;
}

} // namespace hickorypost::dispatch
