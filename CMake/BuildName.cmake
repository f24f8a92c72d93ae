# Writes OUTPUT, a header that names the commit of SOURCE_DIR, with "+" behind it if its sources differ from that commit.
# Without a repository, names a digest of the sources instead. Leaves a header that is up to date as it is.
execute_process(COMMAND git -C ${SOURCE_DIR} rev-parse --show-prefix --short=12 HEAD
    RESULT_VARIABLE result OUTPUT_VARIABLE lines ERROR_QUIET OUTPUT_STRIP_TRAILING_WHITESPACE)
# The first line is empty at the top of a repository. The sources may also lie inside another one.
if(result EQUAL 0 AND lines MATCHES "^\n?([0-9a-f]+)$")
    set(name ${CMAKE_MATCH_1})
    execute_process(COMMAND git -C ${SOURCE_DIR} status --porcelain -- Source platform CMake CMakeLists.txt
        OUTPUT_VARIABLE changes ERROR_QUIET OUTPUT_STRIP_TRAILING_WHITESPACE)
    if(changes)
        string(APPEND name "+")
    endif()
else()
    file(GLOB_RECURSE files RELATIVE ${SOURCE_DIR} ${SOURCE_DIR}/Source/Core/*.cpp ${SOURCE_DIR}/Source/Core/*.h
        ${SOURCE_DIR}/Source/Tanagerbay/*.cpp ${SOURCE_DIR}/platform/*.cpp ${SOURCE_DIR}/platform/*.h)
    list(SORT files)
    set(digests "")
    foreach(file IN LISTS files)
        file(SHA256 ${SOURCE_DIR}/${file} digest)
        string(APPEND digests "${file} ${digest}\n")
    endforeach()
    string(SHA256 digest "${digests}")
    string(SUBSTRING ${digest} 0 12 name)
    string(PREPEND name "sources-")
endif()
set(text "#define TANAGERBAY_BUILD_NAME \"${name}\"\n")
set(written "")
if(EXISTS ${OUTPUT})
    file(READ ${OUTPUT} written)
endif()
if(NOT written STREQUAL text)
    file(WRITE ${OUTPUT} "${text}")
endif()
