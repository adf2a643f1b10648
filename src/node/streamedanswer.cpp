#include "papayastep/node/streamedanswer.h"

namespace papayastep::node {

net::Awaitable<bool> forwardStream(net::ServerExchange &exchange, ServedAnswer &answer, net::ResponseHead head)
{
    bool open = co_await exchange.beginStream(std::move(head));
    if (open && !answer.body.empty()) {
        open = co_await exchange.writePart(std::move(answer.body));
    }
    while (open && !answer.remainingBody->complete()) {
        std::string part = co_await answer.remainingBody->readPart();
        if (part.empty()) {
            break;
        }
        open = co_await exchange.writePart(std::move(part));
    }
    if (!open || !answer.remainingBody->complete()) {
        co_return false;
    }
    co_return co_await exchange.finishStream();
}

}
