/// A stand-in for a backend server: speaks the chat-completions interface (or, as a plain service,
/// echoes), announces itself to its agent, and can be told over HTTP to misbehave.
///
/// For tests and the demo only; it computes nothing.

#include "http_server.h"

#include "hickorypost/base/time.h"
#include "hickorypost/net/timer.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <getopt.h>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

namespace {

using namespace hickorypost;

struct engine_options {
    std::string name = "engine";
    std::string kind = "engine";
    std::string model = "model";
    std::string version = "1";
    std::string announce_url;
    std::string starts_file;
    std::uint16_t port = 0;
    unsigned slots = 8;
    std::int64_t first_ms = 5;
    std::int64_t token_ms = 1;
    unsigned tokens = 16;
    unsigned tokens_per_event = 1;
};

/// How it behaves just now; set by POST /behave.
struct behaviour {
    std::string fault = "none"; ///< none, error, cut
    bool leaving = false;
    double rating = 1.0;
};

struct running_answer {
    std::shared_ptr<http_exchange> exchange;
    bool stream = false;
    unsigned left = 0;
    unsigned total = 0;
    std::uint64_t prompt_tokens = 0;
    std::string text;
    net::timer timer;
};

class fake_engine {
public:
    explicit fake_engine(engine_options options)
        : options_{std::move(options)}, session_{soup_session_new()}
    {
        if (!options_.starts_file.empty()) {
            starts_ = std::fopen(options_.starts_file.c_str(), "ae");
        }
    }
    ~fake_engine()
    {
        if (starts_ != nullptr) {
            std::fclose(starts_);
        }
    }
    fake_engine(const fake_engine&) = delete;
    fake_engine& operator=(const fake_engine&) = delete;

    bool start()
    {
        constexpr std::size_t max_body = std::size_t{16} << 20U;
        server_ = value_or_handle<net::listen_error>(
            [&] {
                return http_server::open({"127.0.0.1", options_.port}, nullptr,
                                         body_limits::of_machine(max_body),
                                         [this](const auto& it) { on_request(it); });
            },
            [](const net::listen_error& error) {
                std::cerr << error.address << ": " << error.detail << "\n";
                return std::unique_ptr<http_server>{};
            });
        if (!server_) {
            return false;
        }
        std::cout << "port " << server_->port() << std::endl;
        constexpr millis announce_period{1000};
        announce();
        announce_timer_ = net::timer::every(announce_period, [this] { announce(); });
        return true;
    }

private:
    void announce()
    {
        if (options_.announce_url.empty()) {
            return;
        }
        const nlohmann::json body = {
            {"name", options_.name},
            {"url", "http://127.0.0.1:" + std::to_string(server_->port())},
            {"kind", options_.kind},
            {"offers", {{{"model", options_.model}, {"version", options_.version}}}},
            {"slots", options_.slots},
            {"leaving", behaviour_.leaving}};
        net::gobject_ptr<SoupMessage> message{
            soup_message_new("POST", (options_.announce_url + "/announce").c_str())};
        const std::string text = body.dump();
        GBytes* bytes = g_bytes_new(text.data(), text.size());
        soup_message_set_request_body_from_bytes(message.get(), "application/json", bytes);
        g_bytes_unref(bytes);
        soup_session_send_and_read_async(session_.get(), message.get(), G_PRIORITY_DEFAULT, nullptr,
                                         announced, nullptr);
    }

    static void announced(GObject* source, GAsyncResult* outcome, gpointer)
    {
        GError* raw = nullptr;
        GBytes* bytes = soup_session_send_and_read_finish(SOUP_SESSION(source), outcome, &raw);
        if (bytes != nullptr) {
            g_bytes_unref(bytes);
        }
        const net::gerror_ptr error{raw};
    }

    void on_request(const std::shared_ptr<http_exchange>& exchange)
    {
        const std::string path = exchange->path();
        if (path == "/behave") {
            const auto json = nlohmann::json::parse(exchange->body(), nullptr, false);
            behaviour_.fault = json.value("fault", behaviour_.fault);
            behaviour_.leaving = json.value("leaving", behaviour_.leaving);
            behaviour_.rating = json.value("rating", behaviour_.rating);
            announce();
            exchange->respond(200, "text/plain", {}, "done\n");
            return;
        }
        if (path == "/rate") {
            rate(exchange);
            return;
        }
        note_start(*exchange);
        if (behaviour_.fault == "error") {
            exchange->respond(500, "application/json", {}, R"({"error":{"message":"broken"}})");
        } else if (options_.kind == "service") {
            exchange->respond(
                200, "application/json", {},
                nlohmann::json{{"path", path}, {"bytes", exchange->body().size()}}.dump());
        } else {
            complete(exchange);
        }
    }

    /// The stand-in rates by the answer's own version: `bad` in its text is a bad answer.
    void rate(const std::shared_ptr<http_exchange>& exchange)
    {
        const auto json = nlohmann::json::parse(exchange->body(), nullptr, false);
        const std::string answer = json.value("answer", "");
        const double rating = answer.find("bad") == std::string::npos ? behaviour_.rating : 0.0;
        exchange->respond(200, "application/json", {}, nlohmann::json{{"rating", rating}}.dump());
    }

    void note_start(const http_exchange& exchange)
    {
        if (starts_ != nullptr) {
            const std::string id{exchange.header("X-Request-Id")};
            std::fprintf(starts_, "%s %s %s\n", id.c_str(), options_.model.c_str(),
                         options_.version.c_str());
            std::fflush(starts_);
        }
    }

    void complete(const std::shared_ptr<http_exchange>& exchange)
    {
        const auto json = nlohmann::json::parse(exchange->body(), nullptr, false);
        const std::uint64_t id = next_++;
        auto& it = answers_[id];
        it.exchange = exchange;
        it.stream = json.is_object() && json.value("stream", false);
        it.total = json.is_object() ? json.value("max_tokens", options_.tokens) : options_.tokens;
        it.left = it.total;
        it.prompt_tokens = exchange->body().size() / 4;
        exchange->on_gone([this, id] { answers_.erase(id); });
        it.timer = net::timer::once(millis{options_.first_ms}, [this, id] { first(id); });
    }

    void first(std::uint64_t id)
    {
        auto& it = answers_.at(id);
        if (it.stream) {
            it.exchange->start_stream(200, "text/event-stream", {});
        }
        if (options_.token_ms == 0) {
            while (step(id)) {
            }
            return;
        }
        it.timer = net::timer::every(millis{options_.token_ms}, [this, id] { step(id); });
    }

    bool step(std::uint64_t id)
    {
        const auto found = answers_.find(id);
        if (found == answers_.end()) {
            return false;
        }
        auto& it = found->second;
        if (it.left == 0) {
            finish(id);
            return false;
        }
        const unsigned n = std::min(it.left, options_.tokens_per_event);
        it.left -= n;
        std::string text;
        for (unsigned token = 0; token < n; ++token) {
            text += "v" + options_.version + " ";
        }
        if (behaviour_.fault == "cut" && it.left < it.total / 2) {
            it.exchange->finish_stream();
            answers_.erase(id);
            return false;
        }
        if (behaviour_.fault == "bad") {
            text = "bad ";
        }
        if (it.stream) {
            it.exchange->write("data: {\"choices\":[{\"delta\":{\"content\":\"" + text +
                               "\"}}]}\n\n");
        } else {
            it.text += text;
        }
        return true;
    }

    void finish(std::uint64_t id)
    {
        auto node = answers_.extract(id);
        auto& it = node.mapped();
        const nlohmann::json usage = {{"prompt_tokens", it.prompt_tokens},
                                      {"completion_tokens", it.total}};
        if (it.stream) {
            it.exchange->write("data: {\"choices\":[],\"usage\":" + usage.dump() + "}\n\n");
            it.exchange->write("data: [DONE]\n\n");
            it.exchange->finish_stream();
            return;
        }
        const nlohmann::json body = {
            {"object", "chat.completion"},
            {"choices", {{{"message", {{"role", "assistant"}, {"content", it.text}}}}}},
            {"usage", usage}};
        it.exchange->respond(200, "application/json", {}, body.dump());
    }

    engine_options options_;
    behaviour behaviour_;
    net::gobject_ptr<SoupSession> session_;
    std::unique_ptr<http_server> server_;
    std::map<std::uint64_t, running_answer> answers_;
    std::uint64_t next_ = 1;
    std::FILE* starts_ = nullptr;
    net::timer announce_timer_;
};

engine_options parse(int argc, char** argv)
{
    static const std::array options{
        option{"name", required_argument, nullptr, 'n'},
        option{"kind", required_argument, nullptr, 'k'},
        option{"model", required_argument, nullptr, 'm'},
        option{"model-version", required_argument, nullptr, 'v'},
        option{"announce", required_argument, nullptr, 'a'},
        option{"starts", required_argument, nullptr, 'S'},
        option{"port", required_argument, nullptr, 'p'},
        option{"slots", required_argument, nullptr, 's'},
        option{"first-ms", required_argument, nullptr, 'f'},
        option{"token-ms", required_argument, nullptr, 't'},
        option{"tokens", required_argument, nullptr, 'T'},
        option{"tokens-per-event", required_argument, nullptr, 'e'},
        option{nullptr, 0, nullptr, 0},
    };
    engine_options out;
    const auto number = [] { return static_cast<unsigned>(std::strtoul(optarg, nullptr, 10)); };
    for (int it = 0; (it = getopt_long(argc, argv, "", options.data(), nullptr)) != -1;) {
        switch (it) {
        case 'n':
            out.name = optarg;
            break;
        case 'k':
            out.kind = optarg;
            break;
        case 'm':
            out.model = optarg;
            break;
        case 'v':
            out.version = optarg;
            break;
        case 'a':
            out.announce_url = optarg;
            break;
        case 'S':
            out.starts_file = optarg;
            break;
        case 'p':
            out.port = static_cast<std::uint16_t>(number());
            break;
        case 's':
            out.slots = number();
            break;
        case 'f':
            out.first_ms = number();
            break;
        case 't':
            out.token_ms = number();
            break;
        case 'T':
            out.tokens = number();
            break;
        case 'e':
            out.tokens_per_event = std::max(1U, number());
            break;
        default:
            std::exit(2);
        }
    }
    return out;
}

} // namespace

int main(int argc, char** argv)
{
    fake_engine engine{parse(argc, argv)};
    if (!engine.start()) {
        return 1;
    }
    GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
    g_main_loop_run(loop);
    g_main_loop_unref(loop);
    return 0;
}
