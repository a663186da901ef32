/** Plans of soak tests and the checks of their recorded observations. */
package weldcross.chaos.soak;
