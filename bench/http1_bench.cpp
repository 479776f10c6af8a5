/// Throughput of the HTTP/1.1 reader: short requests, uploads and streams of small chunks, in reads
/// of the size that the gateway uses.

#include "hickorypost/http1/parser.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>

namespace {

using namespace hickorypost::http1;

constexpr std::size_t read_size = std::size_t{32} << 10U;
constexpr std::size_t rounds = 7;

/// Best of several rounds, in seconds.
double best_time(const std::function<void()>& body)
{
    double out = 1e9;
    for (std::size_t n = 0; n < rounds; ++n) {
        const auto began = std::chrono::steady_clock::now();
        body();
        const std::chrono::duration<double> took = std::chrono::steady_clock::now() - began;
        out = std::min(out, took.count());
    }
    return out;
}

void print(const char* what, std::size_t messages, std::size_t bytes, double seconds)
{
    std::printf("%-28s %10.0f messages/s %8.1f MB/s\n", what,
                static_cast<double>(messages) / seconds,
                static_cast<double>(bytes) / seconds / 1e6);
}

void short_requests()
{
    constexpr std::size_t requests = 200'000;
    const std::string text =
        "POST /v1/chat HTTP/1.1\r\nHost: a.example\r\nAccept: text/event-stream\r\n"
        "Authorization: Bearer 0123456789abcdef\r\nX-Trace: 1234\r\n"
        "Content-Length: 64\r\n\r\n" +
        std::string(64, 'x');
    const double seconds = best_time([&] {
        request_parser it{{}};
        for (std::size_t n = 0; n < requests; ++n) {
            it.push(text);
            it.next();
        }
    });
    print("short requests", requests, requests * text.size(), seconds);
}

void uploads()
{
    constexpr std::size_t requests = 50;
    constexpr std::size_t size = 4'000'000;
    const std::string text =
        "POST / HTTP/1.1\r\nContent-Length: 4000000\r\n\r\n" + std::string(size, 'x');
    const double seconds = best_time([&] {
        request_parser it{{}};
        for (std::size_t n = 0; n < requests; ++n) {
            for (std::size_t at = 0; at < text.size(); at += read_size) {
                it.push(std::string_view{text}.substr(at, read_size));
            }
            it.next();
        }
    });
    print("uploads of 4 MB", requests, requests * text.size(), seconds);
}

void chunked_streams(std::size_t chunks_per_read)
{
    constexpr std::size_t streams = 2'000;
    constexpr std::size_t reads = 200;
    std::string piece;
    for (std::size_t n = 0; n < chunks_per_read; ++n) {
        append_chunk(piece, "data: {\"token\":\"hickory\",\"n\":14}\n\n");
    }
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const double seconds = best_time([&] {
        response_parser it;
        for (std::size_t n = 0; n < streams; ++n) {
            it.begin(false);
            it.push(head);
            for (std::size_t read = 0; read < reads; ++read) {
                it.push(piece);
                (void)it.take_body();
            }
            it.push(last_chunk);
        }
    });
    print(chunks_per_read == 1 ? "streams, 1 chunk a read" : "streams, 16 chunks a read",
          streams * reads * chunks_per_read, streams * reads * piece.size(), seconds);
}

} // namespace

int main()
{
    constexpr std::size_t chunks_in_large_read = 16;
    short_requests();
    uploads();
    chunked_streams(1);
    chunked_streams(chunks_in_large_read);
    return 0;
}
