#pragma once

#include "papayastep/net/asio.h"

#include <cstdint>
#include <exception>
#include <functional>

/// Tasks whose result nobody awaits. An exception that leaves such a task reaches no caller: from a handler it ends the
/// whole process with the requests of all its callers, and from a detached coroutine it ends that coroutine without any
/// report.
namespace papayastep::net {

/// Logs and counts the exceptions that leave the tasks and handlers of one event loop.
class TaskFaults final : public asio::execution_context::service
{
public:
    using key_type = TaskFaults;
    static asio::execution_context::id id;

    explicit TaskFaults(asio::execution_context &context);

    void record(const char *task, const std::exception_ptr &failure) noexcept;
    std::uint64_t count() const;

private:
    void shutdown() override;

    std::uint64_t m_count = 0;
};

/// Returns the counter of the exceptions that left tasks and handlers of `context`.
TaskFaults &taskFaults(asio::io_context &context);

/// Runs handlers until the context is stopped or has no work left. A handler that throws ends neither the loop nor
/// other handlers: stack unwinding releases its resources, the deadlines of requests limit the effect of its unfinished
/// work, and the next tick, message or watch completes that work.
void runLoop(asio::io_context &context);

/// Runs the coroutine `body` concurrently with the caller until it returns. `task` is its name in the log and must
/// outlive it.
template<typename Body>
void spawnTask(asio::io_context &context, const char *task, Body body)
{
    asio::co_spawn(context, std::move(body), [&context, task](const std::exception_ptr &failure) {
        if (failure) {
            taskFaults(context).record(task, failure);
        }
    });
}

/// Runs the coroutine `body` concurrently with the caller and restarts it after a pause each time that it throws, so it
/// must keep its state elsewhere. A coroutine that returns is not restarted.
void spawnRestartingTask(asio::io_context &context, const char *task, std::function<Awaitable<void>()> body);

/// Runs one of several steps. An exception is logged and counted, so that it does not prevent the other steps from
/// running.
template<typename Step>
void runStep(asio::io_context &context, const char *task, const Step &step) noexcept
{
    try {
        step();
    } catch (...) {
        taskFaults(context).record(task, std::current_exception());
    }
}

}
