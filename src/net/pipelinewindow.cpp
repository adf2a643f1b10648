#include "pipelinewindow.h"

namespace papayastep::net {

void PipelineWindow::setBounds(const PipelineBounds &bounds)
{
    m_bounds = bounds;
}

bool PipelineWindow::mayRead() const
{
    if (m_closed) {
        return false;
    }
    return m_open.empty() || (!m_ending && m_unsafe == 0 && !isAtBound());
}

bool PipelineWindow::mayStart(bool isSafe) const
{
    return mayRead() && (m_open.empty() || isSafe);
}

bool PipelineWindow::isAtBound() const
{
    return !m_open.empty() && (m_open.size() >= m_bounds.requests || m_waitingBytes >= m_bounds.bytes);
}

PipelineWindow::Number PipelineWindow::start(const PipelinedRequest &request)
{
    m_ending = m_ending || request.isLast;
    m_unsafe += request.isSafe ? 0 : 1;
    m_open.push_back({request.isSafe, 0});
    return m_first + m_open.size() - 1;
}

bool PipelineWindow::isFirst(Number number) const
{
    return number == m_first && !m_open.empty();
}

void PipelineWindow::addWaiting(Number number, std::size_t bytes)
{
    m_open.at(number - m_first).waitingBytes += bytes;
    m_waitingBytes += bytes;
}

void PipelineWindow::end()
{
    m_ending = true;
}

void PipelineWindow::abort()
{
    m_ending = true;
    m_closed = true;
}

bool PipelineWindow::closesWithFirst(bool wantsClose)
{
    m_ending = m_ending || wantsClose;
    if (m_ending && m_open.size() == 1) {
        m_closed = true;
    }
    return m_closed;
}

void PipelineWindow::finishFirst()
{
    const Entry first = m_open.front();
    m_open.pop_front();
    ++m_first;
    m_unsafe -= first.isSafe ? 0 : 1;
    m_waitingBytes -= first.waitingBytes;
}

std::size_t PipelineWindow::openCount() const
{
    return m_open.size();
}

std::size_t PipelineWindow::waitingBytes() const
{
    return m_waitingBytes;
}

bool PipelineWindow::isClosed() const
{
    return m_closed;
}

}
