#include "papayastep/node/adminhandler.h"

#include "papayastep/node/refusals.h"

#include <charconv>

namespace papayastep::node {

namespace {

std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        unsigned char byte = 0;
        const bool escape = text[at] == '%' && at + 2 < text.size();
        if (escape && std::from_chars(text.data() + at + 1, text.data() + at + 3, byte, 16).ec == std::errc()) {
            decoded += static_cast<char>(byte);
            at += 2;
        } else {
            decoded += text[at] == '+' ? ' ' : text[at];
        }
    }
    return decoded;
}

}

AdminHandler::Query parseQuery(std::string_view query)
{
    AdminHandler::Query pairs;
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const std::string_view pair = query.substr(0, end);
        const auto equals = std::min(pair.find('='), pair.size());
        const auto value = equals < pair.size() ? pair.substr(equals + 1) : std::string_view();
        pairs[percentDecoded(pair.substr(0, equals))] = percentDecoded(value);
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return pairs;
}

void AdminHandler::addPage(const std::string &path, Page page)
{
    m_pages[path] = std::move(page);
}

net::Awaitable<void> AdminHandler::handle(net::ServerExchange &exchange)
{
    co_await exchange.readBody();
    const auto raw = exchange.head().target();
    const std::string_view target(raw.data(), raw.size());
    const auto mark = std::min(target.find('?'), target.size());
    const auto page = m_pages.find(std::string(target.substr(0, mark)));
    const bool reading
        = exchange.head().method() == net::http::verb::get || exchange.head().method() == net::http::verb::head;
    if (page == m_pages.end() || !reading) {
        const auto status
            = page == m_pages.end() ? net::http::status::not_found : net::http::status::method_not_allowed;
        co_await exchange.answer(net::jsonAnswer(status, "{\"error\": \"no such page\"}\n"));
        co_return;
    }
    co_await exchange.answer(page->second(parseQuery(target.substr(std::min(mark + 1, target.size())))));
}

net::WholeAnswer AdminHandler::refusal(base::ResultCode code, const std::string &detail)
{
    return refusalAnswer(notRunRefusal(code), {}, detail);
}

}
