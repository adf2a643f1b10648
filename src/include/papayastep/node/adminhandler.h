#pragma once

#include "papayastep/net/httpserver.h"

#include <functional>
#include <map>
#include <string>

namespace papayastep::node {

/// Serves read-only pages to operators and Prometheus. Each page is a function that maps the query to an answer.
class AdminHandler final : public net::RequestHandler
{
public:
    using Query = std::map<std::string, std::string>;
    using Page = std::function<net::WholeAnswer(const Query &query)>;

    void addPage(const std::string &path, Page page);

    net::Awaitable<void> handle(net::ServerExchange &exchange) override;
    net::WholeAnswer refusal(base::ResultCode code, const std::string &detail) override;

private:
    std::map<std::string, Page> m_pages;
};

/// Returns the key-value pairs of a query string, percent-decoded. The last of several equal keys is kept.
AdminHandler::Query parseQuery(std::string_view query);

}
