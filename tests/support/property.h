#pragma once

/// A rapidcheck property as a Catch2 test case; a counterexample is printed and fails the test.

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#define OAKPIER_PROPERTY(text, ...) REQUIRE(rc::check(text, __VA_ARGS__))
