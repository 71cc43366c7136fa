#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace lavendertally::http {

/// Share that one request's body has in the bytes of all bodies that a server holds. The share ends
/// with this object.
class HeldBody
{
public:
    /// \param total bytes of all bodies
    explicit HeldBody(std::shared_ptr<std::size_t> total) : m_total(std::move(total)) { }
    ~HeldBody() { resize(0); }
    HeldBody(const HeldBody &) = delete;
    HeldBody &operator=(const HeldBody &) = delete;

    void resize(std::size_t size)
    {
        *m_total = *m_total - m_size + size;
        m_size = size;
    }
    /// \return bytes of all bodies
    std::size_t total() const { return *m_total; }

private:
    std::shared_ptr<std::size_t> m_total;
    std::size_t m_size = 0;
};

} // namespace lavendertally::http
