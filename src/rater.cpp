#include "rater.h"

#include <nlohmann/json.hpp>

namespace hickorypost {

namespace {

/// More open questions than this are not asked: ratings are a sample anyway.
constexpr std::size_t max_open = 512;
constexpr std::size_t max_rated_bytes = std::size_t{64} << 10U;

} // namespace

struct rater::open_rating {
    std::string reply;
    dispatch::rating_fn done;
    std::unique_ptr<engine_call> call;
};

rater::rater(const runtime& env, std::string url)
    : env_{env}, url_{std::move(url)}, session_{soup_session_new()}
{
}

rater::~rater()
{
    open_.clear();
    soup_session_abort(session_.get());
}

void rater::rate(const model_version& version, std::string_view question, std::string_view answer,
                 millis limit, dispatch::rating_fn done)
{
    if (!active() || open_.size() >= max_open) {
        done(std::nullopt);
        return;
    }
    const std::uint64_t id = next_++;
    auto& it = open_[id];
    it = std::make_unique<open_rating>();
    it->done = std::move(done);
    dispatch::backend_call request;
    request.method = "POST";
    request.url = url_;
    request.content_type = "application/json";
    request.limit = limit;
    request.body = nlohmann::json{{"model", version.model},
                                  {"version", version.version},
                                  {"question", question.substr(0, max_rated_bytes)},
                                  {"answer", answer.substr(0, max_rated_bytes)}}
                       .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    engine_call_hooks hooks;
    hooks.head = [](std::uint32_t, std::string_view) {};
    hooks.bytes = [raw = it.get()](std::string_view bytes) { raw->reply.append(bytes); };
    hooks.over = [this, id](const dispatch::call_result& result) {
        auto rating = std::move(open_.at(id));
        open_.erase(id);
        std::optional<double> value;
        const auto json = nlohmann::json::parse(rating->reply, nullptr, false);
        if (result.outcome == wire::run_outcome::complete && json.is_object() &&
            json.contains("rating") && json["rating"].is_number()) {
            value = json["rating"].get<double>();
        }
        rating->done(value);
        // The call is still on the stack of its own callback.
        net::post(g_main_context_get_thread_default(),
                  [keep = std::shared_ptr<open_rating>{std::move(rating)}] {});
    };
    it->call = std::make_unique<engine_call>(session_.get(), request, std::move(hooks));
}

} // namespace hickorypost
