#include "gypsumstep/runtime/event_loop_thread.h"

namespace gypsumstep::runtime {

event_loop_thread::event_loop_thread(const std::string& name)
{
    m_thread.setObjectName(QString::fromStdString(name));
}

event_loop_thread::~event_loop_thread()
{
    stop();
}

void event_loop_thread::start(factory make)
{
    m_thread.start();
    m_context = std::make_unique<QObject>();
    m_context->moveToThread(&m_thread);
    QMetaObject::invokeMethod(
        m_context.get(), [this, make = std::move(make)] { m_object = make(); },
        Qt::BlockingQueuedConnection);
}

void event_loop_thread::stop()
{
    if (!m_context) {
        return;
    }
    QMetaObject::invokeMethod(
        m_context.get(), [this] { m_object.reset(); }, Qt::BlockingQueuedConnection);
    m_thread.quit();
    m_thread.wait();
    m_context.reset();
}

void post(QObject& receiver, std::function<void()> run)
{
    QMetaObject::invokeMethod(&receiver, std::move(run), Qt::QueuedConnection);
}

} // namespace gypsumstep::runtime
