#pragma once

#include "papayastep/net/asio.h"

#include <cstdint>
#include <exception>
#include <functional>

/// Work that nobody waits for. An exception that leaves it reaches no caller: out of a handler it ends the whole
/// process with the requests of all its callers, and out of a detached coroutine it ends that coroutine without a word.
namespace papayastep::net {

/// Logs and counts the exceptions that left a task or a handler of one loop.
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

/// The faults of the tasks of `context`.
TaskFaults &taskFaults(asio::io_context &context);

/// Runs handlers until the context is stopped or has no work left. A handler that throws ends neither the loop nor the
/// others: what it held is released by the unwinding, and what it left undone is bounded by the deadlines of requests
/// and repaired by the next tick, message or watch.
void runLoop(asio::io_context &context);

/// Runs `body` beside its caller; it ends by itself. `task` names it in the log and must outlive it.
template<typename Body>
void spawnTask(asio::io_context &context, const char *task, Body body)
{
    asio::co_spawn(context, std::move(body), [&context, task](const std::exception_ptr &failure) {
        if (failure) {
            taskFaults(context).record(task, failure);
        }
    });
}

/// Runs an endless `body` beside its caller, and anew after a pause each time it throws. So it must keep its state
/// elsewhere. A body that returns is done.
void spawnRestartingTask(asio::io_context &context, const char *task, std::function<Awaitable<void>()> body);

/// Runs one of several steps that must not keep each other from running.
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
