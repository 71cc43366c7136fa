#pragma once

#include "framework/result.h"

#include <boost/leaf/capture.hpp>
#include <boost/leaf/context.hpp>

#include <utility>

namespace lavendertally::framework {

/// Makes a failed result that is handed to a callback. Plain LEAF errors lose their error objects
/// outside a handling scope; this one carries them along.
/// \tparam T value type of the result
/// \param errors error objects, such as a module's error enum and an ErrorContext
template <typename T, typename... Errors>
Result<T> asyncError(const Errors &...errors)
{
    auto context = leaf::make_shared_context([](const Errors &...) {});
    return leaf::capture(std::move(context),
                         [&]() -> Result<T> { return leaf::new_error(errors...); });
}

/// Takes the error object out of a failed result.
/// \param result the failed result; used up
/// \param fallback what to return if the result has no object of this type
/// \return the error object of type \p Error
template <typename Error, typename T>
Error errorOf(Result<T> result, Error fallback)
{
    Error found = fallback;
    leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_CHECK(std::move(result));
            return {};
        },
        [&](Error error) { found = error; }, [] {});
    return found;
}

} // namespace lavendertally::framework
