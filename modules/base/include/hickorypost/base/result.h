#pragma once
/// Errors are returned as Boost.LEAF results. Each layer has its own error type and translates the
/// errors of lower layers.

#include <boost/leaf.hpp>
#include <string>
#include <utility>

namespace hickorypost {

namespace leaf = boost::leaf;

template <class T>
using result = leaf::result<T>;

/// Calls `body`, which returns `result<T>`, and returns its value, or `on_error(error)` for an
/// error of type `E`. Any other error type terminates the process: a layer must not leak the errors
/// of another layer.
template <class E, class Body, class OnError>
auto value_or_handle(Body&& body, OnError&& on_error)
{
    return leaf::try_handle_all(
        std::forward<Body>(body), [&](const E& error) { return on_error(error); },
        [&](const leaf::error_info&) -> decltype(on_error(std::declval<const E&>())) {
            std::terminate();
        });
}

} // namespace hickorypost
