#pragma once

#include "papayastep/net/asio.h"

namespace papayastep::net {

/// An event loop of one thread. Its destructor destroys the tasks that have not ended; destroyTasks() does so earlier,
/// while the objects that the tasks use still exist.
class EventLoop final : public asio::io_context
{
public:
    EventLoop()
        : asio::io_context(1)
    {
    }

    /// Destroys all tasks and pending operations. May be called once the loop has stopped.
    void destroyTasks()
    {
        shutdown();
    }
};

}
