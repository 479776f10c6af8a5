#pragma once
/// Errors travel as Boost.LEAF results; each layer has its own error type and turns those from
/// below.

#include <boost/leaf.hpp>
#include <string>
#include <utility>

namespace hickorypost {

namespace leaf = boost::leaf;

template <class T>
using result = leaf::result<T>;

/// Runs `body` (returning `result<T>`) and gives its value, or what `on_error(E)` makes of an error
/// of type `E`. Errors of other types end the program: a layer must not leak another's errors.
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
