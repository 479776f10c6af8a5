#pragma once

#include "engine_call.h"
#include "hickorypost/dispatch/request_services.h"
#include "runtime.h"

#include <deque>
#include <optional>

namespace hickorypost {

/// Asks the platform's service that rates answers. It answers late, and for a sample only.
class rater {
public:
    rater(const runtime& env, std::string url);
    ~rater();
    rater(const rater&) = delete;
    rater& operator=(const rater&) = delete;

    [[nodiscard]] bool active() const noexcept { return !url_.empty(); }
    void rate(const model_version& version, std::string_view question, std::string_view answer,
              millis limit, dispatch::rating_fn done);

private:
    struct open_rating;

    const runtime& env_;
    std::string url_;
    net::gobject_ptr<SoupSession> session_;
    std::map<std::uint64_t, std::unique_ptr<open_rating>> open_;
    std::uint64_t next_ = 1;
};

} // namespace hickorypost
