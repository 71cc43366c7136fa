#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

namespace lavendertally::framework {

/// Value or error of a fallible function. Error objects are the error enum of the module that
/// returns it and, where a person reads it, an ErrorContext.
template <typename T>
using Result = boost::leaf::result<T>;

namespace leaf = boost::leaf;

} // namespace lavendertally::framework
