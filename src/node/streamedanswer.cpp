#include "papayastep/node/streamedanswer.h"

namespace papayastep::node {

net::Awaitable<bool> passStream(net::ServerExchange &exchange, ServedAnswer &answer, net::ResponseHead head)
{
    bool open = co_await exchange.beginStream(std::move(head));
    if (open && !answer.body.empty()) {
        open = co_await exchange.writePart(std::move(answer.body));
    }
    while (open && !answer.rest->complete()) {
        std::string part = co_await answer.rest->readPart();
        if (part.empty()) {
            break;
        }
        open = co_await exchange.writePart(std::move(part));
    }
    if (!open || !answer.rest->complete()) {
        co_return false;
    }
    co_return co_await exchange.finishStream();
}

}
