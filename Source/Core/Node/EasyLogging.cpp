// Compiles Easylogging++, which is distributed as source, into this project.
#include <easylogging++.cc>
