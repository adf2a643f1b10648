#pragma once

// clang-format off
// Boost.Asio 1.74's coroutine header uses std::exchange without including <utility>, so that one goes first.
#include <utility>
// clang-format on

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

/// The names of Boost.Asio and Boost.Beast that the I/O packages use.
namespace papayastep::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

template<typename Value>
using Awaitable = asio::awaitable<Value>;

/// Completion token with which the coroutine resumes normally and `error` receives the result, instead of an exception.
inline auto into(beast::error_code &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

}
