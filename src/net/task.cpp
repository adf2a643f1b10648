#include "papayastep/net/task.h"

#include "papayastep/base/log.h"
#include "papayastep/base/resultcode.h"

namespace papayastep::net {

namespace {

constexpr std::string_view logPrefix = "net";

/// Long enough not to spin if the task fails permanently, short enough for tasks on which other code depends.
constexpr std::chrono::milliseconds restartPause(200);

void logFailure(const char *task, const char *what)
{
    PAPAYASTEP_LOG(ERROR, logPrefix) << "A task failed." << base::field("code", number(base::ResultCode::Internal))
                                     << base::field("task", task) << base::field("what", what);
}

Awaitable<void> runUntilReturn(asio::io_context &context, const char *task, std::function<Awaitable<void>()> body)
{
    bool done = false;
    while (!done) {
        try {
            co_await body();
            done = true;
        } catch (...) {
            taskFaults(context).record(task, std::current_exception());
        }
        if (!done) {
            asio::steady_timer pause(context, restartPause);
            beast::error_code ignored;
            co_await pause.async_wait(into(ignored));
        }
    }
}

}

asio::execution_context::id TaskFaults::id;

TaskFaults::TaskFaults(asio::execution_context &context)
    : asio::execution_context::service(context)
{
}

void TaskFaults::record(const char *task, const std::exception_ptr &failure) noexcept
{
    ++m_count;
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception &error) {
        logFailure(task, error.what());
    } catch (...) {
        logFailure(task, "not a standard exception");
    }
}

std::uint64_t TaskFaults::count() const
{
    return m_count;
}

void TaskFaults::shutdown()
{
}

TaskFaults &taskFaults(asio::io_context &context)
{
    return asio::use_service<TaskFaults>(context);
}

void runLoop(asio::io_context &context)
{
    for (;;) {
        try {
            context.run();
            return;
        } catch (...) {
            taskFaults(context).record("handler", std::current_exception());
        }
    }
}

void spawnRestartingTask(asio::io_context &context, const char *task, std::function<Awaitable<void>()> body)
{
    auto run = [&context, task, body = std::move(body)] { return runUntilReturn(context, task, body); };
    spawnTask(context, task, std::move(run));
}

}
