/// A load from one process over HTTP: bench_path URL-PORT KEY MODEL STREAM CONNECTIONS REQUESTS
/// TOKENS Prints latency to the first and last byte and the rates reached. scripts/bench runs it
/// against the stand-in engine directly and through the whole path, in one run.

#include "engine_call.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <vector>

namespace {

using namespace hickorypost;
using clock_type = std::chrono::steady_clock;

struct load_options {
    std::string url;
    std::string key;
    std::string model;
    bool stream = true;
    std::size_t connections = 1;
    std::size_t requests = 1000;
    std::size_t tokens = 16;
};

double quantile(std::vector<double>& values, double q)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

class load {
public:
    explicit load(load_options options)
        : options_{std::move(options)}, loop_{g_main_loop_new(nullptr, FALSE)},
          session_{
              soup_session_new_with_options("max-conns", 4096, "max-conns-per-host", 4096, nullptr)}
    {
    }
    ~load() { g_main_loop_unref(loop_); }
    load(const load&) = delete;
    load& operator=(const load&) = delete;

    void run()
    {
        const auto began = clock_type::now();
        slots_.resize(options_.connections);
        for (std::size_t n = 0; n < options_.connections; ++n) {
            next(n);
        }
        g_main_loop_run(loop_);
        const double seconds = std::chrono::duration<double>(clock_type::now() - began).count();
        std::printf("%zu connections: first byte p50 %.2f p99 %.2f ms, last byte p50 %.2f p99 %.2f "
                    "ms, %.0f requests/s, %.0f tokens/s, %zu failed\n",
                    options_.connections, quantile(first_, 0.5), quantile(first_, 0.99),
                    quantile(last_, 0.5), quantile(last_, 0.99),
                    static_cast<double>(done_) / seconds,
                    static_cast<double>(done_ * options_.tokens) / seconds, failed_);
    }

private:
    struct slot {
        std::unique_ptr<engine_call> call;
        clock_type::time_point began;
        bool first_seen = false;
    };

    void next(std::size_t n)
    {
        if (started_ == options_.requests) {
            if (done_ == options_.requests) {
                g_main_loop_quit(loop_);
            }
            return;
        }
        ++started_;
        auto& it = slots_[n];
        it.began = clock_type::now();
        it.first_seen = false;
        dispatch::backend_call call;
        call.method = "POST";
        call.url = options_.url;
        call.content_type = "application/json";
        call.authorization = "Bearer " + options_.key;
        call.event_stream = options_.stream;
        call.body = "{\"model\":\"" + options_.model +
                    "\",\"stream\":" + (options_.stream ? "true" : "false") +
                    ",\"max_tokens\":" + std::to_string(options_.tokens) + "}";
        engine_call_hooks hooks;
        hooks.head = [](std::uint32_t, std::string_view) {};
        hooks.bytes = [this, n](std::string_view) {
            auto& here = slots_[n];
            if (!std::exchange(here.first_seen, true)) {
                first_.push_back(millis_since(here.began));
            }
        };
        hooks.over = [this, n](const dispatch::call_result& result) {
            last_.push_back(millis_since(slots_[n].began));
            ++done_;
            failed_ += result.outcome == wire::run_outcome::complete ? 0U : 1U;
            net::post(g_main_context_default(), [this, n] { next(n); });
        };
        it.call = std::make_unique<engine_call>(session_.get(), call, std::move(hooks));
    }

    static double millis_since(clock_type::time_point from)
    {
        return std::chrono::duration<double, std::milli>(clock_type::now() - from).count();
    }

    load_options options_;
    GMainLoop* loop_;
    net::gobject_ptr<SoupSession> session_;
    std::vector<slot> slots_;
    std::vector<double> first_;
    std::vector<double> last_;
    std::size_t started_ = 0;
    std::size_t done_ = 0;
    std::size_t failed_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 8) {
        std::fprintf(stderr, "bench_path PORT KEY MODEL true|false CONNECTIONS REQUESTS TOKENS\n");
        return 2;
    }
    load_options options;
    options.url = "http://127.0.0.1:" + std::string{argv[1]} + "/v1/chat/completions";
    options.key = argv[2];
    options.model = argv[3];
    options.stream = std::string_view{argv[4]} == "true";
    options.connections = std::strtoull(argv[5], nullptr, 10);
    options.requests = std::strtoull(argv[6], nullptr, 10);
    options.tokens = std::strtoull(argv[7], nullptr, 10);
    load it{std::move(options)};
    it.run();
    return 0;
}
