#include "dragonflysill/zones/sharedview.h"

#include <utility>

namespace dragonflysill {

SharedView::SharedView()
    : m_view(std::make_shared<View>())
{
}

ViewPointer SharedView::get() const
{
    const std::lock_guard lock(m_mutex);
    return m_view;
}

void SharedView::set(ViewPointer view)
{
    {
        const std::lock_guard lock(m_mutex);
        if (view->revision < m_view->revision)
            return;
        m_view = view;
    }
    m_changed.notify_all();
    for (const auto &it : m_functions)
        it(view);
}

bool SharedView::waitFor(std::int64_t revision, std::chrono::milliseconds timeout) const
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, timeout, [&] { return m_view->revision >= revision; });
}

void SharedView::onChange(std::function<void(const ViewPointer &)> function)
{
    m_functions.push_back(std::move(function));
}

} // namespace dragonflysill
