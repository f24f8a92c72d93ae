// Compiles the non-template parts of Asio and Beast in one translation unit.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
