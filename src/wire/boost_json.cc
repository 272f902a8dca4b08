// Compiles the implementation of Boost.JSON, which is otherwise used as headers
// only. No other file may include it.
#include <boost/json/src.hpp>
